#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "standins/common/fault_plan.h"
#include "standins/common/lagged_value.h"
#include "standins/engine/cache_event_log.h"
#include "standins/engine/fnv1a.h"
#include "standins/engine/kv_store.h"
#include "standins/engine/order_state.h"
#include "standins/engine/prefix_cache.h"
#include "standins/engine/prompt_blocks.h"

namespace skylarkcroft::standin {
namespace {

constexpr time_point kStart{};

time_point At(int64_t ms) { return kStart + milliseconds(ms); }

/// A prompt of `words` words that starts with `first`.
std::string Prompt(const std::string& first, int words) {
  std::string prompt = first;
  for (int i = 1; i < words; ++i) {
    prompt += " w" + std::to_string(i);
  }
  return prompt;
}

std::vector<cache_change> Changes(int count) {
  std::vector<cache_change> changes;
  changes.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    changes.push_back(
        {cache_change_kind::kStored, static_cast<uint64_t>(i), kBlockTokens});
  }
  return changes;
}

engine_order Order(int64_t fence, const std::string& model) {
  engine_order order;
  order.fence = fence;
  order.desired.model = model;
  return order;
}

TEST_CASE("FNV-1a gives the published test vectors", "[cache]") {
  CHECK(HashText(Fnv1a("")) == "cbf29ce484222325");
  CHECK(HashText(Fnv1a("foobar")) == "85944171f73967e8");
}

TEST_CASE("block hashes cover whole blocks and ignore the kind of whitespace",
          "[cache]") {
  const prompt_blocks blocks = SplitPrompt(Prompt("a", 40));
  CHECK(blocks.tokens == 40);
  CHECK(blocks.prefix_hashes ==
        std::vector<uint64_t>{Fnv1a(Prompt("a", 16)), Fnv1a(Prompt("a", 32))});
  CHECK(SplitPrompt(" a\n\tb ") == SplitPrompt("a b"));
  CHECK(SplitPrompt(" \n").tokens == 0);
}

TEST_CASE("the cache knows the longest common prefix in whole blocks",
          "[cache]") {
  prefix_cache cache(1024);
  cache.Store(SplitPrompt(Prompt("a", 40)));
  CHECK(cache.Use(SplitPrompt(Prompt("a", 40))) == 32);
  CHECK(cache.Use(SplitPrompt(Prompt("a", 20) + " and more")) == 16);
  CHECK(cache.Use(SplitPrompt(Prompt("b", 40))) == 0);
  CHECK(cache.used_tokens() == 32);
}

TEST_CASE(
    "the cache evicts the least recently used block, the last of a prompt "
    "first",
    "[cache]") {
  prefix_cache cache(4 * kBlockTokens);
  const prompt_blocks a = SplitPrompt(Prompt("a", 32));
  const prompt_blocks b = SplitPrompt(Prompt("b", 32));
  const prompt_blocks c = SplitPrompt(Prompt("c", 16));
  cache.Store(a);
  cache.Store(b);
  cache.Use(a);
  const std::vector<cache_change> changes = cache.Store(c);
  CHECK(changes == std::vector<cache_change>{
                       {cache_change_kind::kStored, c.prefix_hashes[0], 16},
                       {cache_change_kind::kEvicted, b.prefix_hashes[1], 32}});
  CHECK(cache.Use(a) == 32);
  CHECK(cache.Use(b) == 16);
  CHECK(cache.used_tokens() == 4 * kBlockTokens);
}

TEST_CASE("a prompt larger than the cache keeps its first blocks", "[cache]") {
  prefix_cache cache(2 * kBlockTokens);
  const prompt_blocks large = SplitPrompt(Prompt("a", 100));
  CHECK(cache.Store(large).size() == 2);
  CHECK(cache.Use(large) == 32);
}

TEST_CASE("cache events show after the lag", "[events]") {
  cache_event_log log(milliseconds(100), 0, 1);
  log.Add(Changes(2), At(0));
  log.Add(Changes(1), At(50));
  CHECK(log.After(0, At(99)).last_seq == 0);
  CHECK(log.After(0, At(100)).events.size() == 2);
  CHECK(log.After(1, At(150)).events.size() == 2);
  CHECK(log.After(0, At(150)).last_seq == 3);
}

TEST_CASE("a lost cache event leaves a gap that never fills", "[events]") {
  constexpr int kEvents = 1000;
  cache_event_log log(milliseconds(0), 0.25, 1);
  log.Add(Changes(kEvents), At(0));
  const cache_event_page page = log.After(0, At(0));
  CHECK(page.last_seq == kEvents);
  CHECK(page.events.size() > kEvents / 2);
  CHECK(page.events.size() < kEvents * 9 / 10);
  CHECK(log.After(0, At(100000)).events == page.events);
}

TEST_CASE("a lagged value shows the latest sample that is old enough",
          "[load]") {
  lagged_value<int> value(milliseconds(100), 0, At(0));
  value.Record(1, At(10));
  value.Record(2, At(20));
  CHECK(value.At(At(50)) == 0);
  CHECK(value.At(At(110)) == 1);
  CHECK(value.At(At(119)) == 1);
  CHECK(value.At(At(120)) == 2);
}

TEST_CASE("a checking engine refuses an order with an old fence", "[orders]") {
  order_state orders(fencing_mode::kChecked, milliseconds(0), {});
  CHECK(orders.Apply(Order(5, "new"), At(0)) == order_outcome::kApplied);
  CHECK(orders.Apply(Order(4, "old"), At(1)) == order_outcome::kStaleFence);
  CHECK(orders.last().fence == 5);
  CHECK(orders.ActualAt(At(1)).model == "new");
  CHECK(orders.Apply(Order(5, "again"), At(2)) == order_outcome::kApplied);
}

TEST_CASE("an engine that ignores fences applies whatever arrives last",
          "[orders]") {
  order_state orders(fencing_mode::kIgnored, milliseconds(0), {});
  CHECK(orders.Apply(Order(5, "new"), At(0)) == order_outcome::kApplied);
  CHECK(orders.Apply(Order(4, "old"), At(1)) == order_outcome::kApplied);
  CHECK(orders.last().fence == 4);
  CHECK(orders.ActualAt(At(1)).model == "old");
}

TEST_CASE("a model takes its time to load, a role none", "[orders]") {
  engine_assignment initial;
  initial.model = "first";
  order_state orders(fencing_mode::kChecked, milliseconds(100), initial);
  engine_order order = Order(1, "second");
  order.desired.role = "decode";
  orders.Apply(order, At(0));
  CHECK(orders.LoadingAt(At(99)));
  CHECK(orders.ActualAt(At(99)).model == "first");
  CHECK(orders.ActualAt(At(99)).role == "decode");
  CHECK_FALSE(orders.LoadingAt(At(100)));
  CHECK(orders.ActualAt(At(100)).model == "second");
  order.desired.draining = true;
  orders.Apply(order, At(200));
  CHECK_FALSE(orders.LoadingAt(At(200)));
  CHECK(orders.ActualAt(At(200)).draining);
}

TEST_CASE("an order is read strictly", "[orders]") {
  const engine_order order = ParseOrder(
      R"({"fence":3,"issuer":"n1","number":7,
          "desired":{"model":"m","version":"2","role":"prefill"}})");
  CHECK(order.fence == 3);
  CHECK(order.desired.version == "2");
  CHECK_THROWS_AS(ParseOrder(R"({"fence":3,"number":7})"), config_error);
  CHECK_THROWS_AS(ParseOrder(R"({"fence":3,"issuer":"n","number":7,
                     "desired":{"model":"m","role":"x"}})"),
                  config_error);
}

TEST_CASE("an imported KV cache serves one resume of its own request", "[kv]") {
  kv_store store;
  store.Import("r", DecodeKv(EncodeKv({11, 5})));
  CHECK(store.Take("other", 11) == -1);
  CHECK(store.Take("r", 12) == -1);
  CHECK(store.Take("r", 11) == 5);
  CHECK(store.Take("r", 11) == -1);
  CHECK_THROWS_AS(DecodeKv("[1]"), config_error);
  CHECK_THROWS_AS(DecodeKv("none"), config_error);
}

TEST_CASE("a fault ends after its count", "[faults]") {
  fault_plan plan(1);
  plan.Set(ParseFault(R"({"mode":"error","count":2})", {fault_mode::kError}));
  CHECK(plan.Draw().mode == fault_mode::kError);
  CHECK(plan.Draw().mode == fault_mode::kError);
  CHECK(plan.Draw().mode == fault_mode::kNone);
  CHECK(plan.hits() == 2);
}

TEST_CASE("a fault hits its share of requests, the same ones for one seed",
          "[faults]") {
  const fault half = ParseFault(R"({"mode":"refuse","probability":0.5})",
                                {fault_mode::kRefuse});
  fault_plan plan(7);
  fault_plan same(7);
  plan.Set(half);
  same.Set(half);
  for (int i = 0; i < 1000; ++i) {
    CHECK(plan.Draw() == same.Draw());
  }
  CHECK(plan.hits() > 400);
  CHECK(plan.hits() < 600);
}

TEST_CASE("a fault that the stand-in does not know is refused", "[faults]") {
  CHECK_THROWS_AS(
      ParseFault(R"({"mode":"late"})", {fault_mode::kNone, fault_mode::kHang}),
      config_error);
  CHECK_THROWS_AS(ParseFault(R"({"probabilty":1})", {fault_mode::kNone}),
                  config_error);
}

}  // namespace
}  // namespace skylarkcroft::standin

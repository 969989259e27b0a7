#include <catch2/catch.hpp>

#include "skylarkcroft/admission/skylarkcroft_caller_queue.h"
#include "tests/admission/admission_fixture.h"

namespace skylarkcroft {
namespace {

queued_item Entry(const std::string& caller_name, int64_t tokens,
                  double weight = 1) {
  static int64_t number = 0;
  queued_item entry;
  entry.item.request_id = caller_name + std::to_string(++number);
  entry.item.caller_name = caller_name;
  entry.item.caller_weight = weight;
  entry.item.estimated_tokens = tokens;
  return entry;
}

int64_t TokensOf(caller_queue& queue, const std::string& caller_name,
                 int64_t pops) {
  int64_t tokens = 0;
  for (int64_t index = 0; index < pops; ++index) {
    const work_item item = queue.Pop().item;
    tokens += item.caller_name == caller_name ? item.estimated_tokens : 0;
  }
  return tokens;
}

}  // namespace

TEST_CASE("Callers get equal shares of tokens, not of requests",
          "[admission][fairness]") {
  caller_queue queue;
  for (int index = 0; index < 100; ++index) {
    queue.Push(Entry("long", 100));
    queue.Push(Entry("short", 10));
  }
  int64_t of_long = 0;
  int64_t of_short = 0;
  for (int index = 0; index < 55; ++index) {
    const work_item item = queue.Pop().item;
    (item.caller_name == "long" ? of_long : of_short) += item.estimated_tokens;
  }
  CHECK(std::abs(of_long - of_short) <= 100);
}

TEST_CASE("A caller's weight multiplies its share", "[admission][fairness]") {
  caller_queue queue;
  for (int index = 0; index < 100; ++index) {
    queue.Push(Entry("heavy", 10, 3));
    queue.Push(Entry("light", 10, 1));
  }
  CHECK(TokensOf(queue, "heavy", 40) == 300);
}

TEST_CASE("A new caller is served within one round", "[admission][fairness]") {
  caller_queue queue;
  for (int index = 0; index < 1000; ++index) {
    queue.Push(Entry("large", 10));
  }
  TokensOf(queue, "large", 500);
  queue.Push(Entry("small", 10));
  CHECK(TokensOf(queue, "small", 2) == 10);
}

TEST_CASE("A caller with few requests is served before permanently busy ones",
          "[admission][fairness]") {
  caller_queue queue;
  for (int round = 0; round < 100; ++round) {
    for (int index = 0; index < 5; ++index) {
      queue.Push(Entry("large" + std::to_string(index), 10));
    }
  }
  TokensOf(queue, "large0", 200);
  queue.Push(Entry("small", 10));
  CHECK(queue.Pop().item.caller_name == "small");
  SECTION("but only for a few requests") {
    for (int index = 0; index < 40; ++index) {
      queue.Push(Entry("small", 10));
    }
    CHECK(TokensOf(queue, "small", 40) <= 120);
  }
}

TEST_CASE("An adjusted charge delays the caller's next request",
          "[admission][fairness]") {
  caller_queue queue;
  const queued_item first = Entry("wrong", 10);
  queue.Push(first);
  REQUIRE(queue.Pop().item == first.item);
  queue.Push(Entry("wrong", 10));
  queue.Push(Entry("right", 10));
  queue.Push(Entry("right", 10));
  // The request used ten times its estimated tokens.
  queue.AdjustCharge(first.item, 90);
  CHECK(TokensOf(queue, "right", 2) == 20);
}

TEST_CASE(
    "A requeued request comes before its caller's others and is not charged "
    "again",
    "[admission][fairness]") {
  caller_queue queue;
  const queued_item first = Entry("one", 10);
  queue.Push(first);
  queue.Push(Entry("one", 10));
  queue.Push(Entry("two", 10));
  queue.Requeue(queue.Pop());
  CHECK(queue.size() == 3);
  CHECK(queue.Pop().item.caller_name == "two");
  CHECK(queue.Pop().item == first.item);
  // Each caller was charged for one request.
  queue.Push(Entry("two", 10));
  CHECK(queue.Pop().item.caller_name == "one");
}

TEST_CASE(
    "The caller with the largest backlog for its weight is found, and its "
    "newest request is evicted",
    "[admission][fairness]") {
  caller_queue queue;
  queue.Push(Entry("small", 10));
  queue.Push(Entry("heavy", 40, 8));
  queue.Push(Entry("large", 20));
  const queued_item newest = Entry("large", 20);
  queue.Push(newest);
  REQUIRE(queue.CallerWithLargestBacklog() == "large");
  CHECK(queue.EvictNewest("large") == newest);
  CHECK(queue.tokens() == 70);
  CHECK(queue.size() == 3);
}

TEST_CASE(
    "Tokens ahead of a small caller do not grow with a large one's "
    "backlog",
    "[admission][fairness]") {
  caller_queue queue;
  for (int index = 0; index < 100; ++index) {
    queue.Push(Entry("large", 10));
  }
  // The small caller's start tag equals that of the head of the queue.
  CHECK(queue.TokensAhead(Entry("small", 10).item) == 10);
  for (int index = 0; index < 50; ++index) {
    queue.Pop();
  }
  CHECK(queue.TokensAhead(Entry("small", 10).item) == 0);
  CHECK(queue.TokensAhead(Entry("large", 10).item) == 500);
}

TEST_CASE("Tokens ahead include every caller that is served earlier",
          "[admission][fairness]") {
  caller_queue queue;
  for (int index = 0; index < 20; ++index) {
    queue.Push(Entry("caller" + std::to_string(index), 10));
  }
  CHECK(queue.TokensAhead(Entry("new", 10).item) == 200);
}

TEST_CASE("A request is removed from the middle of its caller's queue",
          "[admission][fairness]") {
  caller_queue queue;
  const queued_item middle = Entry("one", 10);
  queue.Push(Entry("one", 10));
  queue.Push(middle);
  queue.Push(Entry("one", 10));
  CHECK(queue.Remove("one", middle.item.request_id) == middle);
  CHECK_FALSE(queue.Remove("one", middle.item.request_id).has_value());
  CHECK(queue.size() == 2);
}

// Guards against callers that pay for what a preempted request would have used,
// or for nothing of what it has used.
TEST_CASE("A preempted request that ends in the queue is charged for its use",
          "[admission][fairness][regression]") {
  const int64_t used = GENERATE(10, 90);
  caller_queue queue;
  queue.Push(Entry("preempted", 100));
  queued_item preempted = queue.Pop();
  queue.Push(Entry("other", 50));
  queue.Pop();
  preempted.preemptions = 1;
  preempted.used_tokens = used;
  queue.Requeue(preempted);
  const std::optional<queued_item> removed =
      queue.Remove("preempted", preempted.item.request_id);
  REQUIRE(removed.has_value());
  queue.SettleCharge(*removed);
  // Both callers have more requests; the one that has used less comes first.
  queue.Push(Entry("other", 50));
  queue.Push(Entry("preempted", 50));
  CHECK(queue.Pop().item.caller_name == (used < 50 ? "preempted" : "other"));
}

}  // namespace skylarkcroft

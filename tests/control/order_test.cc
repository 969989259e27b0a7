#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_order_plan.h"
#include "skylarkcroft/control/skylarkcroft_pool_lease.h"
#include "skylarkcroft/control/skylarkcroft_upstream_order.h"
#include "skylarkcroft/control/skylarkcroft_weight_fetch_pacer.h"
#include "standins/engine/order_state.h"

namespace skylarkcroft {
namespace {

engine_state Serving(const std::string& version) {
  return {"assistant", version, {}, "both", false};
}

order_plan_input Input(const std::string& version, int64_t fence,
                       int64_t revision) {
  order_plan_input input;
  input.target_state = Serving(version);
  input.fence = fence;
  input.issuer = "n1";
  input.revision = revision;
  return input;
}

observed_upstream Read(const std::string& name, const engine_state& actual,
                       int64_t fence) {
  return {name, order_report{fence, "n1", 1, actual, false}, true};
}

}  // namespace

TEST_CASE("An engine parses an encoded order, and its report is parsed",
          "[control][orders]") {
  const upstream_order order{3, "n1", 9, Serving("2")};
  const standin::engine_order parsed = standin::ParseOrder(EncodeOrder(order));
  CHECK(parsed.fence == 3);
  CHECK(parsed.number == 9);
  CHECK(parsed.desired.version == "2");
  CHECK_FALSE(ParseOrderReport("{}").has_value());
  const auto report = ParseOrderReport(
      R"({"fence":3,"number":9,"issuer":"n1","loading":true,"actual":
      {"model":"m","version":"1","adapters":["a"],"role":"both",
       "draining":false}})");
  REQUIRE(report.has_value());
  CHECK(report->actual == engine_state{"m", "1", {"a"}, "both", false});
}

TEST_CASE(
    "A new version is loaded after draining within the out-of-service limit",
    "[control][orders]") {
  std::vector<observed_upstream> pool;
  pool.reserve(8);
  for (int number = 0; number < 8; ++number) {
    pool.push_back(Read("e" + std::to_string(number), Serving("1"), 1));
  }
  const order_plan first = PlanOrders(Input("2", 1, 5), pool);
  REQUIRE(first.orders.size() == 2);
  CHECK(first.awaiting_drain == 6);
  CHECK(first.orders[0].order.desired.draining);
  CHECK(first.orders[0].order.desired.version == "1");
  pool[0].report->actual.draining = true;
  pool[1].report->actual.draining = true;
  pool[1].idle = false;
  const order_plan second = PlanOrders(Input("2", 1, 5), pool);
  REQUIRE(second.orders.size() == 1);
  CHECK(second.orders[0].upstream_name == "e0");
  CHECK(second.orders[0].loads);
  CHECK(second.orders[0].order.desired == Serving("2"));
  CHECK(second.orders[0].order.number > first.orders[0].order.number);
  SECTION("an upstream that cannot be read counts as out of service") {
    pool[0].report->actual = Serving("2");
    pool[5].report.reset();
    CHECK(PlanOrders(Input("2", 1, 5), pool).orders.empty());
  }
}

TEST_CASE("Orders are based on the states that were read",
          "[control][orders]") {
  const order_plan_input input = Input("2", 4, 5);
  SECTION("a load by this holder's own order is not interrupted") {
    observed_upstream one = Read("e", Serving("1"), 4);
    one.report->loading = true;
    one.report->number = OrderNumber(5, false);
    CHECK(PlanOrders(input, {one}).orders.empty());
    one.report->fence = 3;
    CHECK(PlanOrders(input, {one}).orders.size() == 1);
  }
  SECTION("a higher fence shows that there is a newer holder") {
    const order_plan plan = PlanOrders(
        input, {Read("e", Serving("1"), 4), Read("f", Serving("1"), 5)});
    CHECK(plan.superseded);
    CHECK(plan.orders.empty());
  }
  SECTION("only an upstream that checks fences is sent each new fence") {
    order_plan_input ignoring = input;
    ignoring.fencing = fencing_mode::kIgnored;
    const std::vector<observed_upstream> right{Read("e", Serving("2"), 3)};
    CHECK(PlanOrders(input, right).orders.size() == 1);
    CHECK_FALSE(PlanOrders(input, right).orders[0].loads);
    CHECK(PlanOrders(ignoring, right).up_to_date == 1);
  }
  SECTION("a drain that is no longer needed is undone without a load") {
    observed_upstream one = Read("e", Serving("2"), 4);
    one.report->actual.draining = true;
    const order_plan plan = PlanOrders(input, {one});
    REQUIRE(plan.orders.size() == 1);
    CHECK_FALSE(plan.orders[0].loads);
    CHECK_FALSE(plan.orders[0].order.desired.draining);
  }
}

TEST_CASE("The fetch interval grows with throttling and shrinks with success",
          "[control][orders]") {
  weight_fetch_pacer pacer{weight_fetch_intervals{}};
  const time_point start{std::chrono::hours(1)};
  REQUIRE(pacer.MayStart(start));
  pacer.OnStarted(start);
  CHECK_FALSE(pacer.MayStart(start + milliseconds(199)));
  CHECK(pacer.MayStart(start + milliseconds(200)));
  pacer.OnThrottled(milliseconds(1000), start);
  CHECK(pacer.interval() == milliseconds(400));
  CHECK_FALSE(pacer.MayStart(start + milliseconds(999)));
  for (int fetch = 0; fetch < 50; ++fetch) {
    pacer.OnFetched();
  }
  CHECK(pacer.interval() == milliseconds(200));
}

namespace {

/// Simulates two processes that for a time both believe that they hold a pool's
/// lease, and whose reads and orders are delayed, reordered or lost. One step
/// is 100 ms.
class two_holder_simulation {
 public:
  static constexpr int kUpstreams = 5;
  static constexpr int kLastEdit = 600;
  static constexpr int kOldHolderEnd = 500;
  static constexpr int kMaxDelay = 40;
  static constexpr int kSteps = 1600;

  /// Without `re_reads` the new holder stops reading the upstreams once all are
  /// in the target state.
  two_holder_simulation(unsigned seed, fencing_mode fencing,
                        bool re_reads = true)
      : random_(seed), fencing_(fencing), re_reads_(re_reads) {
    for (int index = 0; index < kUpstreams; ++index) {
      upstreams_.emplace_back(
          fencing == fencing_mode::kChecked ? standin::fencing_mode::kChecked
                                            : standin::fencing_mode::kIgnored,
          milliseconds(1000), standin::engine_assignment{"assistant", "1", {}});
    }
    revisions_[1] = 0;
    for (int64_t revision = 2; revision < 6; ++revision) {
      revisions_[revision] = Uniform(1, kLastEdit);
    }
    // Revisions take effect in ascending order.
    std::vector<int> times;
    for (const auto& [revision, at] : revisions_) {
      times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    for (auto& [revision, at] : revisions_) {
      at = times[static_cast<size_t>(revision - 1)];
    }
    stops_[0] = Uniform(kOldHolderEnd / 2, kOldHolderEnd);
    stops_[1] = kSteps;
    starts_[1] = Uniform(1, kOldHolderEnd / 2);
    paused_from_ = Uniform(1, kOldHolderEnd);
    paused_for_ = Uniform(0, 200);
  }

  /// Runs the simulation and returns the number of upstreams whose final state
  /// differs from the newest revision.
  int Run() {
    for (step_ = 0; step_ < kSteps; ++step_) {
      Deliver();
      for (int holder = 0; holder < 2; ++holder) {
        Act(holder);
      }
    }
    int wrong = 0;
    for (const standin::order_state& upstream : upstreams_) {
      const engine_state actual = StateOf(upstream);
      wrong += actual == Serving(VersionAt(revisions_.rbegin()->first)) ? 0 : 1;
    }
    return wrong;
  }

  [[nodiscard]] int late_orders() const { return late_orders_; }
  [[nodiscard]] int refused() const { return refused_; }

 private:
  struct delivery {
    int at = 0;
    int holder = 0;
    int upstream = 0;
    upstream_order order;
  };

  int Uniform(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }
  time_point Now() const {
    return time_point{} + std::chrono::hours(1) + step_ * milliseconds(100);
  }
  static std::string VersionAt(int64_t revision) {
    return std::to_string(revision);
  }
  engine_state StateOf(const standin::order_state& upstream) const {
    const standin::engine_assignment actual = upstream.ActualAt(Now());
    return {actual.model, actual.version, actual.adapters, actual.role,
            actual.draining};
  }

  void Deliver() {
    for (const delivery& one : in_flight_) {
      if (one.at != step_) {
        continue;
      }
      const engine_state& desired = one.order.desired;
      auto& upstream = upstreams_[static_cast<size_t>(one.upstream)];
      const auto outcome =
          upstream.Apply({one.order.fence,
                          one.order.issuer,
                          one.order.number,
                          {desired.model, desired.version, desired.adapters,
                           desired.role, desired.draining}},
                         Now());
      refused_ += outcome == standin::order_outcome::kStaleFence ? 1 : 0;
      late_orders_ += one.holder == 0 && step_ > starts_[1] ? 1 : 0;
    }
    std::erase_if(in_flight_,
                  [this](const delivery& one) { return one.at <= step_; });
  }

  /// The holder reads all upstreams, waits, and then sends orders based on what
  /// it has read.
  void Act(int holder) {
    const bool paused = holder == 0 && step_ >= paused_from_ &&
                        step_ < paused_from_ + paused_for_;
    if (step_ < starts_[holder] || step_ > stops_[holder] || paused) {
      return;
    }
    if (step_ >= next_read_[holder]) {
      ReadAll(holder);
      next_read_[holder] = step_ + Uniform(10, 30);
      acts_at_[holder] = step_ + Uniform(0, 9);
    }
    if (step_ >= acts_at_[holder] && !read_[holder].empty()) {
      Order(holder);
      read_[holder].clear();
    }
  }

  void ReadAll(int holder) {
    read_[holder].clear();
    for (int index = 0; index < kUpstreams; ++index) {
      const auto& upstream = upstreams_[static_cast<size_t>(index)];
      observed_upstream one{std::to_string(index), {}, Uniform(0, 2) > 0};
      // Some reads fail.
      if (Uniform(0, 19) > 0) {
        one.report = order_report{upstream.last().fence, upstream.last().issuer,
                                  upstream.last().number, StateOf(upstream),
                                  upstream.LoadingAt(Now())};
      }
      read_[holder].push_back(one);
    }
  }

  void Order(int holder) {
    const int seen_at = step_ - Uniform(0, 30);
    int64_t revision = known_revision_[holder];
    for (const auto& [number, at] : revisions_) {
      revision = at <= seen_at ? std::max(revision, number) : revision;
    }
    known_revision_[holder] = revision;
    order_plan_input input = Input(VersionAt(revision), holder + 1, revision);
    input.issuer = "n" + std::to_string(holder + 1);
    input.fencing = fencing_;
    input.max_out_of_service_share = 0.5;
    const order_plan plan = PlanOrders(input, read_[holder]);
    const bool newest = revision == revisions_.rbegin()->first;
    if (!re_reads_ && holder == 1 && newest && plan.up_to_date == kUpstreams) {
      stops_[1] = step_;
    }
    for (const planned_order& planned : plan.orders) {
      // Some orders are lost, others arrive very late.
      if (Uniform(0, 9) == 0) {
        continue;
      }
      const int delay = Uniform(0, 9) == 0 ? Uniform(1, 10 * kMaxDelay)
                                           : Uniform(1, kMaxDelay / 4);
      in_flight_.push_back({step_ + delay, holder,
                            std::stoi(planned.upstream_name), planned.order});
    }
  }

  std::mt19937 random_;
  fencing_mode fencing_;
  bool re_reads_;
  std::vector<standin::order_state> upstreams_;
  std::map<int64_t, int> revisions_;
  std::vector<delivery> in_flight_;
  std::vector<observed_upstream> read_[2];
  int64_t known_revision_[2] = {1, 1};
  int starts_[2] = {0, 0};
  int stops_[2] = {0, 0};
  int next_read_[2] = {0, 0};
  int acts_at_[2] = {0, 0};
  int paused_from_ = 0;
  int paused_for_ = 0;
  int step_ = 0;
  int late_orders_ = 0;
  int refused_ = 0;
};

}  // namespace

TEST_CASE(
    "Two holders that both believe in their lease reach the newest revision",
    "[control][orders][history]") {
  const fencing_mode fencing =
      GENERATE(fencing_mode::kChecked, fencing_mode::kIgnored);
  constexpr unsigned kSchedules = 1000;
  int wrong = 0;
  int late_orders = 0;
  int refused = 0;
  for (unsigned seed = 0; seed < kSchedules; ++seed) {
    two_holder_simulation one(seed, fencing);
    wrong += one.Run();
    late_orders += one.late_orders();
    refused += one.refused();
  }
  WARN((fencing == fencing_mode::kChecked ? "checked" : "ignored")
       << ": schedules " << kSchedules << ", wrong end states " << wrong
       << ", orders of the old holder after the new one began " << late_orders
       << ", refused " << refused);
  CHECK(wrong == 0);
  CHECK(late_orders > 0);
  CHECK((refused > 0) == (fencing == fencing_mode::kChecked));
}

TEST_CASE("Without repeated reads, late orders of an old holder stay in effect",
          "[control][orders][history]") {
  int wrong = 0;
  for (unsigned seed = 0; seed < 1000; ++seed) {
    wrong += two_holder_simulation(seed, fencing_mode::kIgnored, false).Run();
  }
  CHECK(wrong > 0);
}

}  // namespace skylarkcroft

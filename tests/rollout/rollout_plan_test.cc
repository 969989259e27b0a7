#include <catch2/catch.hpp>

#include "skylarkcroft/rollout/skylarkcroft_rollout_outcomes.h"
#include "skylarkcroft/rollout/skylarkcroft_rollout_plan.h"

namespace skylarkcroft {
namespace {

rollout_plan PlanOf(int64_t fence, int64_t sequence, rollout_stage stage) {
  rollout_plan plan;
  plan.order = {"chat", "v2", milliseconds(12000), {1, 40}};
  plan.fencing_token = fence;
  plan.sequence = sequence;
  plan.stage = stage;
  return plan;
}

}  // namespace

TEST_CASE("A rollout plan is the same after encoding and decoding",
          "[rollout][codec]") {
  rollout_plan plan = PlanOf(3, 4, rollout_stage::kRamp);
  plan.ordered_at_ms = 1700000000000;
  plan.share = 0.05;
  plan.canary_upstreams = 4;
  plan.moved_routes = {"recap", "hint"};
  CHECK(DecodePlan(EncodePlan(plan)) == plan);
  plan.reason = "failures";
  CHECK(DecodePlanRow(EncodePlanRow(plan)) == plan);
}

// Guards against a peer or a row of another program that stops the node.
TEST_CASE("What is not a rollout plan is not decoded", "[rollout][codec]") {
  CHECK_FALSE(DecodePlan("").has_value());
  CHECK_FALSE(DecodePlan("\x82\x01\x02").has_value());
  CHECK_FALSE(DecodePlanRow("{}").has_value());
  CHECK_FALSE(DecodePlanRow("[1]").has_value());
  std::string bytes = EncodePlan(PlanOf(1, 1, rollout_stage::kCanary));
  for (size_t i = 0; i < bytes.size(); ++i) {
    CHECK_FALSE(DecodePlan(bytes.substr(0, i)).has_value());
  }
}

TEST_CASE("A later plan of an order replaces an earlier one", "[rollout]") {
  const rollout_plan canary = PlanOf(2, 5, rollout_stage::kCanary);
  CHECK(Supersedes(PlanOf(2, 6, rollout_stage::kRamp), canary));
  CHECK(Supersedes(PlanOf(3, 1, rollout_stage::kCanary), canary));
  CHECK_FALSE(Supersedes(PlanOf(2, 4, rollout_stage::kRamp), canary));
  CHECK_FALSE(Supersedes(PlanOf(1, 9, rollout_stage::kRamp), canary));
}

// Guards against a second decision on an order, by a holder that does not know
// of the first one.
TEST_CASE("A final plan is never replaced within its order", "[rollout]") {
  const rollout_plan rolled_back = PlanOf(2, 5, rollout_stage::kRolledBack);
  CHECK_FALSE(Supersedes(PlanOf(3, 9, rollout_stage::kDrain), rolled_back));
  CHECK_FALSE(Supersedes(PlanOf(3, 9, rollout_stage::kCompleted), rolled_back));
  // A former holder's rollback counts although its lease has ended.
  CHECK(Supersedes(rolled_back, PlanOf(3, 1, rollout_stage::kCanary)));
  rollout_plan next = PlanOf(1, 0, rollout_stage::kWaiting);
  next.order.position.version = 41;
  CHECK(Supersedes(next, rolled_back));
}

TEST_CASE("A rollout report is the same after encoding and decoding",
          "[rollout][codec]") {
  rollout_report report;
  report.order = {"chat", "v2", milliseconds(12000), {1, 40}};
  report.node = "n1";
  report.incarnation = 1700000000000;
  report.sequence = 7;
  report.fencing_token = 2;
  report.plan_sequence = 9;
  report.stage = rollout_stage::kDrain;
  report.running_at_old = 3;
  for (size_t i = 0; i < kMaxRolloutRoutes; ++i) {
    route_outcomes& outcomes = report.routes["route" + std::to_string(i)];
    outcomes.old_version.sent = 100000;
    for (size_t j = 0; j < duration_counts::kBuckets; ++j) {
      outcomes.old_version.ended.Add(j, 100000);
      outcomes.new_version.running.Add(j, 1);
    }
  }
  constexpr size_t kMaxBytes = 1200;
  rollout_totals routes;
  for (const std::string& datagram : EncodeRolloutReport(report)) {
    CHECK(datagram.size() <= kMaxBytes);
    const rollout_report part = DecodeRolloutReport(datagram).value();
    CHECK(part.order == report.order);
    CHECK(part.running_at_old == report.running_at_old);
    CHECK(part.stage == report.stage);
    routes.insert(part.routes.begin(), part.routes.end());
  }
  CHECK(routes == report.routes);
  CHECK_FALSE(DecodeRolloutReport("").has_value());
}

// Guards against counting outcomes twice when reports are duplicated or arrive
// out of order, and against losing those of a node that restarted.
TEST_CASE("Repeated and outdated rollout reports change nothing", "[rollout]") {
  const rollout_order order{"chat", "v2", milliseconds(12000), {1, 40}};
  rollout_tally tally(order);
  const auto report = [&order](int64_t incarnation, int64_t sequence,
                               int64_t sent) {
    rollout_report made;
    made.order = order;
    made.node = "n1";
    made.incarnation = incarnation;
    made.sequence = sequence;
    made.routes["recap"].new_version.sent = sent;
    return made;
  };
  const auto sent = [&tally] {
    return tally.totals().at("recap").new_version.sent;
  };
  const time_point now{};
  tally.OnReport(report(1, 2, 20), now);
  tally.OnReport(report(1, 2, 20), now);
  tally.OnReport(report(1, 1, 10), now);
  CHECK(sent() == 20);
  tally.OnReport(report(1, 3, 25), now);
  CHECK(sent() == 25);
  tally.OnReport(report(2, 1, 3), now);
  CHECK(sent() == 28);
  rollout_report other = report(2, 2, 1000);
  other.order.position.version = 41;
  tally.OnReport(other, now);
  CHECK(sent() == 28);
}

}  // namespace skylarkcroft

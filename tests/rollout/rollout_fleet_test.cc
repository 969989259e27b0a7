#include "tests/rollout/rollout_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace skylarkcroft {
namespace {

constexpr milliseconds kRollbackBound{5000};

struct fleet_size {
  size_t nodes;
  size_t upstreams;
  double requests_per_second;
  milliseconds report_period;
};

// Small, as deployed, and large; the reports are as old as the number of nodes
// makes them.
fleet_size AnySize() {
  return GENERATE(fleet_size{7, 6, 60, milliseconds(100)},
                  fleet_size{89, 90, 590, milliseconds(180)},
                  fleet_size{347, 120, 900, milliseconds(700)});
}

fleet_setup SetupOf(const fleet_size& size) {
  fleet_setup setup;
  setup.nodes = size.nodes;
  setup.old_upstreams = size.upstreams;
  setup.new_upstreams = size.upstreams;
  setup.requests_per_second = size.requests_per_second;
  setup.report_period = size.report_period;
  // Reports and plans are lost and late.
  setup.loss = 0.2;
  setup.delay = milliseconds(60);
  return setup;
}

void CheckRolledBackWithinBounds(const fleet_setup& setup) {
  const fleet_result result = RunFleet(setup);
  INFO("nodes " << setup.nodes << ", decided after "
                << result.decided_at.count() << " ms, sent "
                << result.sent_to_new << " of " << result.requests << ", bad "
                << result.bad_answers << ", " << result.reason);
  CHECK(result.stage == rollout_stage::kRolledBack);
  CHECK(result.decided_at < setup.period);
  CHECK(result.Excess(setup) <= 0);
  CHECK(result.last_send_after_50th_bad <= kRollbackBound);
  CHECK(result.unplaced == 0);
}

void CheckCompletedInTime(const fleet_setup& setup) {
  const fleet_result result = RunFleet(setup);
  INFO("nodes " << setup.nodes << ", decided after "
                << result.decided_at.count() << " ms, sent "
                << result.sent_to_new << " of " << result.requests << ", "
                << result.reason);
  CHECK(result.stage == rollout_stage::kCompleted);
  CHECK(result.decided_at < setup.period);
  CHECK(result.running_at_old_when_completed == 0);
  CHECK(result.unplaced == 0);
}

}  // namespace

TEST_CASE("A version that fails from the start is rolled back within bounds",
          "[rollout][fleet]") {
  fleet_setup setup = SetupOf(AnySize());
  // At 60 requests a second the exposure bound leaves about 60 for the canary,
  // too few to tell a tenth of failures from chance.
  const double least = setup.old_upstreams < 10 ? 0.2 : 0.1;
  const double share = std::max(least, GENERATE(0.0, 0.3, 1.0));
  setup.behaviour = [share](const std::string&, milliseconds, double) {
    return version_behaviour{share, 0, 1};
  };
  CheckRolledBackWithinBounds(setup);
}

TEST_CASE("A version that is slow from the start is rolled back within bounds",
          "[rollout][fleet]") {
  fleet_setup setup = SetupOf(AnySize());
  const double share = GENERATE(0.3, 1.0);
  setup.behaviour = [share](const std::string&, milliseconds, double) {
    return version_behaviour{0, share, 4};
  };
  CheckRolledBackWithinBounds(setup);
}

TEST_CASE("A version that begins to fail later is rolled back within bounds",
          "[rollout][fleet]") {
  fleet_setup setup = SetupOf(AnySize());
  const milliseconds begin(GENERATE(3000, 5000));
  setup.behaviour = [begin](const std::string&, milliseconds since_order,
                            double) {
    return since_order < begin ? version_behaviour{}
                               : version_behaviour{0.3, 0, 1};
  };
  CheckRolledBackWithinBounds(setup);
}

// With requests of seconds at few upstreams, slow answers do not end in time
// to be seen; so the small deployment has short requests here.
TEST_CASE("A version that becomes slow later is rolled back within bounds",
          "[rollout][fleet]") {
  fleet_setup setup = SetupOf(AnySize());
  const milliseconds begin(GENERATE(3000, 5000));
  if (setup.old_upstreams < 10) {
    setup.routes = {{"grant", 148, milliseconds(60)},
                    {"read", 59, milliseconds(30)}};
  }
  setup.behaviour = [begin](const std::string&, milliseconds since_order,
                            double) {
    return since_order < begin ? version_behaviour{}
                               : version_behaviour{0, 0.5, 4};
  };
  CheckRolledBackWithinBounds(setup);
}

TEST_CASE("A version that is bad only under load is rolled back within bounds",
          "[rollout][fleet]") {
  fleet_setup setup = SetupOf(AnySize());
  setup.behaviour = [](const std::string&, milliseconds, double load) {
    return load < 0.5 ? version_behaviour{} : version_behaviour{0.4, 0, 1};
  };
  CheckRolledBackWithinBounds(setup);
}

TEST_CASE("A version that is bad on one route is rolled back within bounds",
          "[rollout][fleet]") {
  fleet_setup setup = SetupOf(AnySize());
  const std::string bad_route = GENERATE("recap", "hint", "blurb");
  const bool slow = GENERATE(false, true);
  setup.behaviour = [bad_route, slow](const std::string& route, milliseconds,
                                      double) {
    if (route != bad_route) {
      return version_behaviour{};
    }
    return slow ? version_behaviour{0, 0.6, 4} : version_behaviour{0.3, 0, 1};
  };
  CheckRolledBackWithinBounds(setup);
}

TEST_CASE("A good version is completed in time", "[rollout][fleet]") {
  fleet_setup setup = SetupOf(AnySize());
  setup.seed = GENERATE(1U, 2U, 3U, 4U, 5U);
  CheckCompletedInTime(setup);
}

// Guards against taking the slower answers of a burst for a fault of the
// version, and against waiting too long for the old version's requests.
TEST_CASE("A good version is completed in time during a burst of demand",
          "[rollout][fleet]") {
  fleet_setup setup = SetupOf(AnySize());
  const milliseconds begin(GENERATE(2000, 5000, 8000));
  setup.demand = [begin](milliseconds since_order) {
    return since_order >= begin && since_order < begin + milliseconds(3000)
               ? 1.5
               : 1.0;
  };
  CheckCompletedInTime(setup);
}

TEST_CASE("A good version of a service with short requests is completed",
          "[rollout][fleet]") {
  fleet_setup setup = SetupOf(AnySize());
  setup.routes = {{"grant", 148, milliseconds(40)},
                  {"read", 59, milliseconds(15)}};
  CheckCompletedInTime(setup);
}

TEST_CASE("A good version is completed in time by a second holder",
          "[rollout][fleet][holder]") {
  fleet_setup setup = SetupOf(AnySize());
  setup.holder_fails_in =
      GENERATE(rollout_stage::kWaiting, rollout_stage::kCanary);
  CheckCompletedInTime(setup);
}

// A holder that fails this late leaves no time; the rollout has to end all the
// same, without a request cut off and with one decision.
TEST_CASE("A good version is completed by a second holder late in the rollout",
          "[rollout][fleet][holder]") {
  fleet_setup setup = SetupOf(AnySize());
  setup.holder_fails_in = GENERATE(rollout_stage::kRamp, rollout_stage::kDrain);
  setup.takeover_time = milliseconds(1500);
  const fleet_result result = RunFleet(setup);
  INFO(result.reason << " at " << result.decided_at.count());
  CHECK(result.stage == rollout_stage::kCompleted);
  CHECK(result.running_at_old_when_completed == 0);
  CHECK(result.unplaced == 0);
}

TEST_CASE("A bad version is rolled back by a second holder",
          "[rollout][fleet][holder]") {
  fleet_setup setup = SetupOf(AnySize());
  setup.holder_fails_in =
      GENERATE(rollout_stage::kWaiting, rollout_stage::kCanary);
  setup.behaviour = [](const std::string&, milliseconds, double) {
    return version_behaviour{0.3, 0, 1};
  };
  CheckRolledBackWithinBounds(setup);
}

// A rollback that cannot be written is followed by the nodes, and a later
// holder, which finds another stage in the store, learns of it from them.
TEST_CASE("A rollback during a store outage survives a change of holder",
          "[rollout][fleet][holder]") {
  fleet_setup setup = SetupOf(AnySize());
  setup.holder_fails_in = rollout_stage::kRolledBack;
  setup.store_available = [](milliseconds since_order) {
    return since_order < milliseconds(700) || since_order > milliseconds(5000);
  };
  setup.behaviour = [](const std::string&, milliseconds, double) {
    return version_behaviour{0.5, 0, 1};
  };
  CheckRolledBackWithinBounds(setup);
}

TEST_CASE("A rollout without new upstreams is rolled back",
          "[rollout][fleet]") {
  fleet_setup setup = SetupOf(AnySize());
  setup.new_upstreams = 0;
  CheckRolledBackWithinBounds(setup);
}

TEST_CASE("Requests go to the new version when the old upstreams are gone",
          "[rollout][fleet]") {
  fleet_setup setup = SetupOf(AnySize());
  setup.old_upstreams_lost_at = milliseconds(3000);
  const fleet_result result = RunFleet(setup);
  CHECK(result.stage == rollout_stage::kCompleted);
  CHECK(result.unplaced == 0);
}

}  // namespace skylarkcroft

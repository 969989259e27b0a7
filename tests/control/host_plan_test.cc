#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_host_plan.h"
#include "skylarkcroft/control/skylarkcroft_host_start_tracker.h"
#include "skylarkcroft/control/skylarkcroft_reclaim_history.h"

namespace skylarkcroft {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

const time_point kStart{hours(1)};
const host_offer kCheap{"a", "g1", true};
const host_offer kOther{"b", "g1", true};
const host_offer kOnDemand{"a", "g1", false};

std::vector<priced_offer> Offers() {
  return {
      {kCheap, 1, 0, true}, {kOther, 1.5, 0, true}, {kOnDemand, 4, 0, true}};
}

}  // namespace

TEST_CASE(
    "The number of hosts follows demand by rank within the policy's bounds",
    "[control][hosts]") {
  host_policy policy;
  policy.min_hosts = 2;
  policy.max_hosts = 6;
  const host_demand demand{{13, 20, 5}};
  CHECK(HostsNeeded(demand, policy, {}) == 3);
  CHECK(UrgentHostsNeeded(demand, {}) == 2);
  CHECK(HostsNeeded({}, policy, {}) == 2);
  CHECK(HostsNeeded({{1000, 0, 0}}, policy, {}) == 6);
}

TEST_CASE(
    "Enough hosts remain for the urgent rank when any one zone is reclaimed",
    "[control][hosts]") {
  CHECK(PlanHostMix({6, 2, Offers(), {}, 0}, {}) ==
        offer_counts{{kCheap, 4}, {kOther, 2}});
  CHECK(PlanHostMix({6, 5, Offers(), {}, 0}, {}) ==
        offer_counts{{kCheap, 1}, {kOther, 1}, {kOnDemand, 4}});
  CHECK(PlanHostMix({6, 6, Offers(), {}, 0}, {}) ==
        offer_counts{{kOnDemand, 6}});
}

TEST_CASE("Reclaim rates, refusals and the price limit change the host mix",
          "[control][hosts]") {
  std::vector<priced_offer> offers = Offers();
  SECTION("an offer that is often reclaimed is avoided despite its low price") {
    offers[0].reclaims_per_hour = 2;
    CHECK(PlanHostMix({4, 0, offers, {}, 0}, {}) == offer_counts{{kOther, 4}});
  }
  SECTION("the next offer is used after a refusal") {
    offers[0].available = false;
    CHECK(PlanHostMix({4, 0, offers, {{kCheap, 1}}, 0}, {}) ==
          offer_counts{{kCheap, 1}, {kOther, 3}});
  }
  SECTION("the price limit bounds the number of hosts") {
    CHECK(PlanHostMix({4, 0, offers, {}, 2.5}, {}) ==
          offer_counts{{kCheap, 2}});
  }
  SECTION("a small gain does not replace a host that runs") {
    offers[1].price_per_hour = 1.1;
    CHECK(PlanHostMix({2, 0, offers, {{kOther, 2}}, 0}, {}) ==
          offer_counts{{kOther, 2}});
    offers[1].price_per_hour = 1.5;
    CHECK(PlanHostMix({2, 0, offers, {{kOther, 2}}, 0}, {}) ==
          offer_counts{{kCheap, 2}});
  }
}

TEST_CASE("The target rises immediately and falls after the release time",
          "[control][hosts]") {
  host_count_target target{host_plan_parameters{}};
  CHECK(target.Update(5, kStart) == 5);
  CHECK(target.Update(2, kStart + minutes(1)) == 5);
  CHECK(target.Update(4, kStart + minutes(5)) == 5);
  CHECK(target.Update(2, kStart + minutes(11)) == 4);
  CHECK(target.Update(7, kStart + minutes(12)) == 7);
}

TEST_CASE("Hosts are drained only after their replacements serve",
          "[control][hosts]") {
  const offer_counts desired{{kCheap, 2}};
  const offer_counts both{{kCheap, 2}, {kOther, 2}};
  CHECK(PlanHostChanges(desired, {{kOther, 2}}, {{kOther, 2}}, 2) ==
        host_changes{{{kCheap, 2}}, {}});
  CHECK(PlanHostChanges(desired, both, {{kOther, 2}}, 2) == host_changes{});
  CHECK(PlanHostChanges(desired, both, {{kCheap, 1}, {kOther, 2}}, 2) ==
        host_changes{{}, {{kOther, 1}}});
  CHECK(PlanHostChanges(desired, both, both, 2) ==
        host_changes{{}, {{kOther, 2}}});
}

TEST_CASE("A start with an unknown outcome is resent with its own token",
          "[control][hosts]") {
  host_start_tracker starts("assistant", "n1-7");
  const start_request first = starts.BeginStart(kCheap);
  starts.EndStart(first.client_token, start_outcome::kUnknown, kStart);
  CHECK(starts.PendingStarts() == std::vector<start_request>{first});
  CHECK(starts.PendingCounts() == offer_counts{{kCheap, 1}});
  SECTION("until a response arrives") {
    starts.EndStart(first.client_token, start_outcome::kStarted, kStart);
    CHECK(starts.PendingStarts().empty());
  }
  SECTION("or until the host appears in the cloud's list") {
    cloud_host host;
    host.client_token = first.client_token;
    starts.OnHostsListed({host});
    CHECK(starts.PendingStarts().empty());
  }
  CHECK(starts.BeginStart(kCheap).client_token != first.client_token);
}

TEST_CASE(
    "A refused start delays only starts of the same zone and machine class",
    "[control][hosts]") {
  host_start_tracker starts("assistant", "n1-7");
  time_point now = kStart;
  for (const int wait : {30, 60, 120}) {
    starts.EndStart(starts.BeginStart(kCheap).client_token,
                    start_outcome::kNoCapacity, now);
    CHECK_FALSE(starts.IsAvailable(kCheap, now + seconds(wait - 1)));
    CHECK(starts.IsAvailable(kOther, now));
    now += seconds(wait);
    CHECK(starts.IsAvailable(kCheap, now));
  }
  starts.EndStart(starts.BeginStart(kCheap).client_token,
                  start_outcome::kStarted, now);
  starts.EndStart(starts.BeginStart(kCheap).client_token,
                  start_outcome::kRejected, now);
  CHECK(starts.IsAvailable(kCheap, now + seconds(30)));
}

TEST_CASE("Observed reclaims raise the expected rate and decay over time",
          "[control][hosts]") {
  reclaim_history history;
  const double assumed = history.ReclaimsPerHour(kCheap, kStart);
  history.Record(kCheap, 10, hours(1), 9, kStart);
  const double after = history.ReclaimsPerHour(kCheap, kStart);
  CHECK(after > 3 * assumed);
  const double later = history.ReclaimsPerHour(kCheap, kStart + hours(24));
  CHECK(later < after);
  CHECK(later < 2 * assumed);
  CHECK(history.ReclaimsPerHour(kOther, kStart) == assumed);
  CHECK(history.ReclaimsPerHour(kOnDemand, kStart) == 0);
}

}  // namespace skylarkcroft

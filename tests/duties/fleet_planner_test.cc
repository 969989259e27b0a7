#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/duties/skylarkcroft_fleet_planner.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

/// A simulated cloud that carries out every order at once, except orders for
/// reclaimable upstreams while those are made unavailable.
class cloud {
 public:
  cloud() {
    view_.service = "pool";
    view_.scaling.min_per_zone = 1;
    view_.scaling.max_per_zone = 10;
    view_.scaling.boot_time = milliseconds(4000);
    view_.scaling.reclaimable_price = 0.18;
    view_.scaling.zone_prices = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}};
    for (const zone_price& zone : view_.scaling.zone_prices) {
      SetCount(zone.availability_zone, false, 5);
    }
  }

  void SetCount(const std::string& zone, bool reclaimable, int count) {
    std::erase_if(view_.upstreams, [&](const fleet_upstream& upstream) {
      return upstream.entry.availability_zone == zone &&
             upstream.entry.reclaimable == reclaimable;
    });
    for (int i = 0; i < count; ++i) {
      upstream_entry entry;
      entry.id = zone + (reclaimable ? "r" : "f") + std::to_string(i);
      entry.availability_zone = zone;
      entry.reclaimable = reclaimable;
      view_.upstreams.push_back({entry, busy_ ? 1 : 0});
    }
  }
  [[nodiscard]] int Count(bool reclaimable) const {
    return static_cast<int>(
        std::count_if(view_.upstreams.begin(), view_.upstreams.end(),
                      [&](const fleet_upstream& upstream) {
                        return upstream.entry.reclaimable == reclaimable;
                      }));
  }
  [[nodiscard]] int CountIn(const std::string& zone) const {
    return static_cast<int>(
        std::count_if(view_.upstreams.begin(), view_.upstreams.end(),
                      [&](const fleet_upstream& upstream) {
                        return upstream.entry.availability_zone == zone;
                      }));
  }
  [[nodiscard]] int CountIn(const std::string& zone, bool reclaimable) const {
    return static_cast<int>(
        std::count_if(view_.upstreams.begin(), view_.upstreams.end(),
                      [&](const fleet_upstream& upstream) {
                        return upstream.entry.availability_zone == zone &&
                               upstream.entry.reclaimable == reclaimable;
                      }));
  }
  /// Sets a maximum for upstreams of both kinds together, which the cloud
  /// enforces.
  void EnforceMaxPerZone(int count) {
    view_.scaling.max_per_zone = count;
    enforces_maximum_ = true;
  }
  void SetInFlight(int in_flight) { view_.in_flight = in_flight; }
  void SetReclaimableUnavailable(bool unavailable) {
    reclaimable_unavailable_ = unavailable;
  }
  /// Gives every upstream a request in flight.
  void SetBusy() {
    busy_ = true;
    for (fleet_upstream& upstream : view_.upstreams) {
      upstream.in_flight = 1;
    }
  }

  [[nodiscard]] time_point now() const { return now_; }

  /// Plans and carries out the orders once a second for `seconds`; returns all
  /// orders.
  std::vector<fleet_order> Run(fleet_planner& planner, int seconds) {
    std::vector<fleet_order> all;
    for (int i = 0; i < seconds; ++i) {
      now_ += milliseconds(1000);
      for (const fleet_order& order : planner.Plan(view_, now_)) {
        const bool refused = reclaimable_unavailable_ && order.reclaimable;
        planner.OnOrderOutcome(
            order,
            refused ? duty_outcome::kUnavailable : duty_outcome::kAccepted,
            now_);
        if (!refused) {
          SetCount(order.availability_zone, order.reclaimable,
                   AllowedCount(order));
        }
        all.push_back(order);
      }
    }
    return all;
  }

 private:
  [[nodiscard]] int AllowedCount(const fleet_order& order) const {
    if (!enforces_maximum_) {
      return order.count;
    }
    const int others = CountIn(order.availability_zone, !order.reclaimable);
    return std::clamp(view_.scaling.max_per_zone - others, 0, order.count);
  }

  fleet_view view_;
  bool enforces_maximum_ = false;
  bool reclaimable_unavailable_ = false;
  bool busy_ = false;
  time_point now_ = kStart;
};

}  // namespace

TEST_CASE("Reclaimable upstreams replace on-demand ones", "[duties][fleet]") {
  cloud cloud;
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.Run(planner, 5);
  CHECK(cloud.Count(false) == 0);
  CHECK(cloud.Count(true) >= 3 * fleet_planner_parameters{}.baseline_per_zone);
}

TEST_CASE(
    "Upstreams with requests in flight are terminated later than idle ones",
    "[duties][fleet]") {
  cloud cloud;
  cloud.SetBusy();
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.Run(planner, 5);
  CHECK(cloud.Count(false) == 15);
  cloud.Run(planner, 10);
  CHECK(cloud.Count(false) == 0);
}

TEST_CASE("On-demand upstreams are kept until reclaimable ones are ready",
          "[duties][fleet]") {
  cloud cloud;
  cloud.SetReclaimableUnavailable(true);
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.Run(planner, 30);
  CHECK(cloud.Count(false) == 15);
}

TEST_CASE(
    "On-demand upstreams replace reclaimed zones when no reclaimable ones are "
    "available",
    "[duties][fleet][reclaim]") {
  cloud cloud;
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.SetInFlight(120);
  cloud.Run(planner, 5);
  cloud.SetReclaimableUnavailable(true);
  cloud.SetCount("a", true, 0);
  cloud.SetCount("b", true, 0);
  cloud.Run(planner, 5);
  CHECK(cloud.Count(true) + cloud.Count(false) >=
        120 / static_cast<int>(
                  fleet_planner_parameters{}.target_requests_per_upstream));
  SECTION("and are terminated once reclaimable ones are available again") {
    cloud.SetReclaimableUnavailable(false);
    cloud.Run(planner, 20);
    CHECK(cloud.Count(false) == 0);
  }
}

TEST_CASE("A zone is not planned below its minimum number of upstreams",
          "[duties][fleet]") {
  cloud cloud;
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.Run(planner, 5);
  cloud.SetReclaimableUnavailable(true);
  cloud.SetCount("a", true, 0);
  cloud.Run(planner, 10);
  CHECK(cloud.CountIn("a") >= 1);
}

TEST_CASE("The fleet is scaled up at once and scaled down slowly",
          "[duties][fleet][burst]") {
  cloud cloud;
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.SetInFlight(240);
  cloud.Run(planner, 2);
  const int high = cloud.Count(true);
  CHECK(high >=
        240 / static_cast<int>(
                  fleet_planner_parameters{}.target_requests_per_upstream));
  cloud.SetInFlight(10);
  cloud.Run(planner, 10);
  CHECK(cloud.Count(true) == high);
  cloud.Run(planner, 200);
  CHECK(cloud.Count(true) < high);
}

TEST_CASE(
    "Right after start the plan keeps as many upstreams as the operators "
    "started",
    "[duties][fleet]") {
  cloud cloud;
  for (const std::string zone : {"a", "b", "c"}) {
    cloud.SetCount(zone, false, 0);
  }
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.Run(planner, 1);
  // Upstreams register after the planner has made its first plan.
  for (const std::string zone : {"a", "b", "c"}) {
    cloud.SetCount(zone, false, 9);
  }
  cloud.Run(planner, 5);
  CHECK(cloud.Count(true) >= 27);
}

TEST_CASE(
    "Upstreams that have not registered yet are not terminated by an order",
    "[duties][fleet][start][regression]") {
  cloud cloud;
  for (const std::string zone : {"a", "b", "c"}) {
    cloud.SetCount(zone, false, 0);
  }
  fleet_planner planner{fleet_planner_parameters{}};
  for (const fleet_order& order : cloud.Run(planner, 3)) {
    CHECK(order.reclaimable);
  }
}

TEST_CASE("A planner that takes over keeps the upstreams that it finds",
          "[duties][fleet][takeover][regression]") {
  cloud cloud;
  for (const std::string zone : {"a", "b", "c"}) {
    cloud.SetCount(zone, false, 0);
    cloud.SetCount(zone, true, 8);
  }
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.SetInFlight(10);
  cloud.Run(planner, 20);
  CHECK(cloud.Count(true) == 24);
}

TEST_CASE(
    "On-demand upstreams are ordered for load beyond the reclaimable ones",
    "[duties][fleet][reclaim][burst][regression]") {
  cloud cloud;
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.SetInFlight(60);
  cloud.Run(planner, 12);
  cloud.SetReclaimableUnavailable(true);
  // The load requires more than the maximum of one zone, and no further
  // reclaimable upstreams are available.
  cloud.SetInFlight(1000);
  cloud.Run(planner, 5);
  CHECK(cloud.Count(false) + cloud.Count(true) == 30);
}

TEST_CASE(
    "On-demand upstreams are terminated when the load no longer needs them",
    "[duties][fleet][burst][regression]") {
  cloud cloud;
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.SetInFlight(100);
  cloud.Run(planner, 12);
  cloud.SetReclaimableUnavailable(true);
  cloud.SetInFlight(400);
  cloud.Run(planner, 5);
  CHECK(cloud.Count(false) > 0);
  // The plan stays high for a while, and no further reclaimable upstreams are
  // available.
  cloud.SetInFlight(100);
  cloud.Run(planner, 20);
  CHECK(cloud.Count(false) == 0);
}

TEST_CASE(
    "A planner that takes over under load orders missing upstreams at once",
    "[duties][fleet][takeover][regression]") {
  cloud cloud;
  for (const std::string zone : {"a", "b", "c"}) {
    cloud.SetCount(zone, false, 0);
    cloud.SetCount(zone, true, 4);
  }
  cloud.SetReclaimableUnavailable(true);
  cloud.SetInFlight(200);
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.Run(planner, 3);
  CHECK(cloud.Count(false) > 0);
}

TEST_CASE("The fleet is scaled down within a minute after a short burst",
          "[duties][fleet][burst][regression]") {
  cloud cloud;
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.SetInFlight(60);
  cloud.Run(planner, 12);
  const int before = cloud.Count(true);
  cloud.SetInFlight(300);
  cloud.Run(planner, 4);
  REQUIRE(cloud.Count(true) > 2 * before - 3);
  cloud.SetInFlight(60);
  cloud.Run(planner, 50);
  CHECK(cloud.Count(true) <= before);
}

TEST_CASE("A steadily growing load needs few orders",
          "[duties][fleet][burst]") {
  cloud cloud;
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.Run(planner, 12);
  size_t orders = 0;
  for (int in_flight = 100; in_flight <= 300; in_flight += 4) {
    cloud.SetInFlight(in_flight);
    orders += cloud.Run(planner, 1).size();
  }
  CHECK(cloud.Count(true) >=
        300 / static_cast<int>(
                  fleet_planner_parameters{}.target_requests_per_upstream));
  // At most 8 increases in each of the three zones while the load triples.
  CHECK(orders <= 3 * 8);
}

TEST_CASE("The on-demand order is not reduced while the load rises",
          "[duties][fleet][burst]") {
  cloud cloud;
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.Run(planner, 12);
  cloud.SetReclaimableUnavailable(true);
  cloud.SetCount("a", true, 0);
  int last = 0;
  for (int in_flight = 100; in_flight <= 400; in_flight += 20) {
    cloud.SetInFlight(in_flight);
    cloud.Run(planner, 1);
    CHECK(cloud.Count(false) >= last);
    last = cloud.Count(false);
  }
}

TEST_CASE(
    "Zones reclaimed by turns: on-demand upstreams are ordered while one zone "
    "is left",
    "[duties][fleet][reclaim][regression]") {
  cloud cloud;
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.SetInFlight(40);
  // Until the plan has come down to four upstreams in each zone.
  cloud.Run(planner, 60);
  REQUIRE(cloud.Count(false) == 0);
  cloud.EnforceMaxPerZone(6);
  cloud.SetReclaimableUnavailable(true);
  cloud.SetCount("a", true, 0);
  cloud.Run(planner, 1);
  cloud.SetCount("b", true, 0);
  cloud.Run(planner, 1);
  // What is left can carry the load, but may be reclaimed at any moment.
  CHECK(cloud.Count(false) >= 2);
  SECTION("and they leave room for the reclaimable ones to return") {
    cloud.SetCount("c", true, 0);
    cloud.SetInFlight(60);
    cloud.Run(planner, 5);
    for (const std::string zone : {"a", "b", "c"}) {
      CHECK(cloud.CountIn(zone, false) <= 2);
    }
    cloud.SetInFlight(40);
    cloud.SetReclaimableUnavailable(false);
    cloud.Run(planner, 12);
    CHECK(cloud.Count(false) == 0);
  }
}

TEST_CASE(
    "Requests that pile up at too few upstreams do not raise the plan like a "
    "higher load",
    "[duties][fleet][reclaim][regression]") {
  cloud cloud;
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.SetInFlight(40);
  cloud.Run(planner, 12);
  cloud.SetReclaimableUnavailable(true);
  for (const std::string zone : {"a", "b", "c"}) {
    cloud.SetCount(zone, true, 0);
  }
  cloud.SetInFlight(150);
  cloud.Run(planner, 3);
  CHECK(cloud.Count(false) >= 4);
  CHECK(cloud.Count(false) <= 8);
  SECTION("but a higher load does if it lasts") {
    cloud.Run(planner, 20);
    CHECK(cloud.Count(false) >= 12);
  }
}

// Pattern: answers of the cloud are lost, and orders are carried out seconds
// later, after newer ones. Guards against upstreams that are paid for until the
// plan changes.
TEST_CASE("An order that is carried out after a newer one is corrected",
          "[duties][fleet][late_execution][regression]") {
  cloud cloud;
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.Run(planner, 60);
  const int wanted = cloud.CountIn("a", true);
  const bool response_lost = GENERATE(true, false);
  const fleet_order late{"pool", "a", true, wanted + 4};
  planner.OnOrderOutcome(
      late, response_lost ? duty_outcome::kUnknown : duty_outcome::kRefused,
      cloud.now());
  cloud.Run(planner, 4);
  cloud.SetCount("a", true, wanted + 4);
  cloud.Run(planner, 15);
  // Upstreams that others have added are left alone.
  CHECK(cloud.CountIn("a", true) == (response_lost ? wanted : wanted + 4));
  CHECK(cloud.Run(planner, 30).empty());
}

TEST_CASE("A plan that has converged issues no orders", "[duties][fleet]") {
  cloud cloud;
  fleet_planner planner{fleet_planner_parameters{}};
  // Wait until the plan has been scaled down from what the operators started.
  cloud.Run(planner, 60);
  CHECK(cloud.Run(planner, 30).empty());
}

TEST_CASE(
    "On-demand upstreams beyond the load are terminated while no reclaimable "
    "ones are available",
    "[duties][fleet][reclaim][burst]") {
  // All zones are reclaimed in a burst of requests that wait for upstreams.
  // Once these have been served, the on-demand ones ordered for them cost the
  // full price for the rest of the time without reclaimable ones.
  cloud cloud;
  cloud.EnforceMaxPerZone(30);
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.SetInFlight(240);
  cloud.Run(planner, 12);
  cloud.SetReclaimableUnavailable(true);
  for (const std::string zone : {"a", "b", "c"}) {
    cloud.SetCount(zone, true, 0);
  }
  cloud.SetInFlight(1000);
  cloud.Run(planner, 6);
  const int in_burst = cloud.Count(false);
  CHECK(in_burst >= 50);
  cloud.SetInFlight(240);
  cloud.SetBusy();
  cloud.Run(planner, 16);
  // The load needs 20, and 8 more are its reserve.
  CHECK(cloud.Count(false) >= 28);
  CHECK(cloud.Count(false) <= 30);
  SECTION("the most expensive ones first, down to the minimum of the zone") {
    CHECK(cloud.CountIn("c", false) == 1);
  }
  SECTION("so that reclaimable ones find places when they return") {
    cloud.SetReclaimableUnavailable(false);
    cloud.Run(planner, 12);
    CHECK(cloud.Count(true) >= 28);
    CHECK(cloud.Count(false) == 0);
  }
}

TEST_CASE("On-demand upstreams are kept through a lull of two seconds",
          "[duties][fleet][reclaim]") {
  cloud cloud;
  fleet_planner planner{fleet_planner_parameters{}};
  cloud.SetInFlight(240);
  cloud.Run(planner, 12);
  cloud.SetReclaimableUnavailable(true);
  for (const std::string zone : {"a", "b", "c"}) {
    cloud.SetCount(zone, true, 0);
  }
  cloud.Run(planner, 6);
  const int before = cloud.Count(false);
  cloud.SetInFlight(60);
  cloud.Run(planner, 2);
  cloud.SetInFlight(240);
  cloud.Run(planner, 2);
  CHECK(cloud.Count(false) == before);
}

}  // namespace skylarkcroft

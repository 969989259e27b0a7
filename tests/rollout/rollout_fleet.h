#ifndef SKYLARKCROFT_TESTS_ROLLOUT_ROLLOUT_FLEET_H_
#define SKYLARKCROFT_TESTS_ROLLOUT_ROLLOUT_FLEET_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/rollout/skylarkcroft_rollout_controller.h"
#include "skylarkcroft/rollout/skylarkcroft_rollout_router.h"

namespace skylarkcroft {

struct fleet_route {
  std::string name;
  double weight = 1;
  milliseconds duration{100};
};

/// How the new version answers a request.
struct version_behaviour {
  double failure_share = 0;
  double slow_share = 0;
  double slow_factor = 1;
};

/// A simulated deployment with a rollout. All times count from the order.
struct fleet_setup {
  size_t nodes = 89;
  size_t old_upstreams = 90;
  size_t new_upstreams = 90;
  double requests_per_second = 500;
  std::vector<fleet_route> routes{{"recap", 144, milliseconds(1800)},
                                  {"hint", 107, milliseconds(1100)},
                                  {"blurb", 341, milliseconds(120)}};
  milliseconds period{12000};
  double exposure_share = 0.1;
  double exposure_slack = 50;
  /// Share of the datagrams that are lost, and delay of the others.
  double loss = 0;
  milliseconds delay{20};
  milliseconds report_period{250};
  std::function<double(milliseconds since_order)> demand =
      [](milliseconds /*since_order*/) { return 1.0; };
  /// `load` is the number of requests running at the upstream, divided by the
  /// mean over the old upstreams before the order.
  std::function<version_behaviour(const std::string& route,
                                  milliseconds since_order, double load)>
      behaviour = [](const std::string& /*route*/, milliseconds /*since*/,
                     double /*load*/) { return version_behaviour{}; };
  /// The holder fails as soon as this stage is in force; another one takes over
  /// after `takeover_time`.
  std::optional<rollout_stage> holder_fails_in;
  milliseconds takeover_time{3600};
  std::function<bool(milliseconds since_order)> store_available =
      [](milliseconds /*since_order*/) { return true; };
  /// Upstreams of the old version disappear at this time.
  std::optional<milliseconds> old_upstreams_lost_at;
  uint32_t seed = 1;
};

struct fleet_result {
  rollout_stage stage = rollout_stage::kWaiting;
  std::string reason;
  milliseconds decided_at{0};  ///< When the final stage was written.
  int64_t requests = 0;        ///< From the order to the end of the period.
  int64_t sent_to_new = 0;     ///< In the same time.
  int64_t running_at_old_when_completed = 0;
  int64_t bad_answers = 0;
  /// From the 50th bad answer to the last request sent to the new version; 0 if
  /// there were fewer bad answers.
  milliseconds last_send_after_50th_bad{0};
  int64_t unplaced = 0;  ///< Requests for which no upstream was left.

  /// Requests to the new version beyond what the bounds allow.
  [[nodiscard]] double Excess(const fleet_setup& setup) const {
    return static_cast<double>(sent_to_new) -
           setup.exposure_share * static_cast<double>(requests) -
           setup.exposure_slack;
  }
};

fleet_result RunFleet(const fleet_setup& setup);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_ROLLOUT_ROLLOUT_FLEET_H_

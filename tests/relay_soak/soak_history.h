#ifndef SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_HISTORY_H_
#define SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_HISTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "tests/adapter/platform_standin.h"

namespace skylarkcroft::soak {

enum class request_kind { kSafe, kOnce, kResumable, kStream };

/// A request as its client saw it.
struct request_seen {
  request_kind kind = request_kind::kSafe;
  std::string node;
  std::string key;
  time_point sent_at{};
  time_point ended_at{};
  int status = 0;          ///< 0 where no answer came.
  bool whole = false;      ///< The answer's framing says that it is complete.
  bool matches = false;    ///< Its bytes are the upstream's.
  bool gave_up = false;    ///< The client left at its deadline.
  bool kept_open = false;  ///< Not the first request of its connection.
};

/// A run as its upstream saw it.
struct run_seen {
  std::string request;
  std::string upstream;
  std::string key_shown;  ///< Must be empty: keys stay with the nodes.
  time_point at{};
  std::optional<time_point> ended_at;
};

/// Something done to a node, an upstream or all (`whom` empty) from outside.
struct disturbance {
  std::string whom;
  time_point from{};
  time_point until{};
};

/// All that was seen during a run of the soak.
struct history {
  std::map<std::string, request_seen> requests;
  /// Requests that reached an upstream and were not declined.
  std::vector<run_seen> arrivals;
  /// Those that an upstream has begun, in that order.
  std::vector<run_seen> runs;
  std::vector<disturbance> disturbances;
  /// When the store confirmed that a key was taken away.
  std::map<std::string, time_point> revoked;
  /// When the store confirmed that an upstream leaves.
  std::map<std::string, time_point> leaving;
  std::vector<platform_standin::cloud_call> cloud_calls;
  time_point calm_from{};  ///< No faults from here to the end.
  bool planned_only = false;
};

/// Bounds of the promises, as the operators state them.
struct promise_bounds {
  milliseconds revocation{5000};
  milliseconds drain{2000};
  milliseconds contact{3000};
  milliseconds overlap{400};

  bool operator==(const promise_bounds&) const = default;
};

/// Every promise that `seen` breaks, one line each.
std::vector<std::string> FindViolations(const history& seen,
                                        const promise_bounds& bounds);

}  // namespace skylarkcroft::soak

#endif  // SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_HISTORY_H_

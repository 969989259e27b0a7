#ifndef SKYLARKCROFT_DUTIES_SKYLARKCROFT_DUTY_CALLS_H_
#define SKYLARKCROFT_DUTIES_SKYLARKCROFT_DUTY_CALLS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "skylarkcroft/duties/skylarkcroft_usage_ledger.h"

namespace skylarkcroft {

/// Identifies the lease under which a duty call is made; the receiver can
/// reject calls with an outdated fencing token.
struct duty_authority {
  std::string holder;  ///< Name of the node that holds the lease.
  int64_t fencing_token = 0;

  bool operator==(const duty_authority&) const = default;
};

/// Desired number of upstreams, reclaimable or on-demand, of one service in
/// one availability zone.
struct fleet_order {
  std::string service;
  std::string availability_zone;
  bool reclaimable = false;
  int count = 0;

  bool operator==(const fleet_order&) const = default;
};

/// Final request counts of one usage window. `window` is the wall time since
/// the Unix epoch divided by the window length.
struct usage_report {
  int64_t window = 0;
  std::vector<usage_count> counts;

  /// Sum of the requests of all workspaces.
  [[nodiscard]] int64_t Total() const;

  bool operator==(const usage_report&) const = default;
};

enum class duty_outcome {
  kAccepted,
  kUnavailable,  ///< The cloud has none of the ordered upstreams at present.
  kRefused,      ///< Rejected without effect; may be retried.
  kOutdated,     ///< Rejected: a higher fencing token has been used.
  kUnknown,      ///< No definite response; may have been accepted.
};

std::string_view ToString(duty_outcome outcome);

using duty_done_fn = std::function<void(duty_outcome)>;

/// Duties: calls to the cloud that only the node holding the duty lease makes.
/// `done` is never invoked before the call itself has returned.
class duty_calls {
 public:
  virtual ~duty_calls() = default;

  virtual void ReportUsage(const duty_authority& authority,
                           const usage_report& report, duty_done_fn done) = 0;
  virtual void OrderFleet(const duty_authority& authority,
                          const fleet_order& order, duty_done_fn done) = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DUTIES_SKYLARKCROFT_DUTY_CALLS_H_

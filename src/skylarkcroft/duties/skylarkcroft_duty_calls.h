#ifndef SKYLARKCROFT_DUTIES_SKYLARKCROFT_DUTY_CALLS_H_
#define SKYLARKCROFT_DUTIES_SKYLARKCROFT_DUTY_CALLS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "skylarkcroft/duties/skylarkcroft_usage_ledger.h"

namespace skylarkcroft {

/// Under which lease a duty is carried out.
struct duty_authority {
  std::string holder;
  int64_t fence = 0;

  bool operator==(const duty_authority&) const = default;
};

/// How many upstreams of one kind a service is to have in one zone.
struct fleet_order {
  std::string service;
  std::string availability_zone;
  bool reclaimable = false;
  int count = 0;

  bool operator==(const fleet_order&) const = default;
};

/// Final usage of one window of wall time.
struct usage_report {
  int64_t window = 0;
  std::vector<usage_count> counts;

  /// Requests of all workspaces.
  [[nodiscard]] int64_t Total() const;

  bool operator==(const usage_report&) const = default;
};

enum class duty_outcome {
  kAccepted,
  kUnavailable,  ///< There is nothing of what was ordered at the moment.
  kRefused,      ///< Refused for now; it may be tried again.
  kUnknown,      ///< No answer; it may have been accepted.
};

std::string_view ToString(duty_outcome outcome);

using duty_done_fn = std::function<void(duty_outcome)>;

/// Calls to the cloud that one node at a time makes. They never answer from
/// inside themselves.
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

#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_HOST_START_TRACKER_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_HOST_START_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_host_offer.h"
#include "skylarkcroft/control/skylarkcroft_host_plan.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_cloud_api.h"

namespace skylarkcroft {

/// The starts of hosts whose outcome is open, and the offers that were refused
/// of late. An open start is only ever repeated under its own token.
class host_start_tracker {
 public:
  /// `token_prefix` has to differ for each holder of the pool's lease.
  host_start_tracker(std::string pool_name, std::string token_prefix);

  /// A new start, open from now on.
  start_request BeginStart(const host_offer& offer);
  /// Settles the start with `client_token`, unless its outcome is unknown.
  void EndStart(const std::string& client_token, start_outcome outcome,
                time_point now);
  /// Settles open starts that the cloud's list shows.
  void OnHostsListed(const std::vector<cloud_host>& hosts);

  /// Starts to be sent again.
  [[nodiscard]] std::vector<start_request> PendingStarts() const;
  /// PendingStarts starts by offer; each may have become a host.
  [[nodiscard]] offer_counts PendingCounts() const;
  /// False while starts of `offer` are put off.
  [[nodiscard]] bool IsAvailable(const host_offer& offer, time_point now) const;

  static constexpr std::chrono::seconds kInitialBackoff{30};
  static constexpr std::chrono::seconds kMaxBackoff{600};

 private:
  struct refusal {
    time_point until{};
    std::chrono::seconds backoff{};
  };

  std::string pool_name_;
  std::string token_prefix_;
  uint64_t next_number_ = 1;
  std::map<std::string, start_request> pending_;
  std::map<host_offer, refusal> refusals_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_HOST_START_TRACKER_H_

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

/// Tracks host starts whose outcome is not yet known, and backs off from offers
/// that the cloud refused. A pending start is resent only with its original
/// client token, so that it cannot create a second host.
class host_start_tracker {
 public:
  /// `token_prefix` must be different for each holder of the pool's lease.
  host_start_tracker(std::string pool_name, std::string token_prefix);

  /// Creates a start request with a new token and tracks it as pending.
  start_request BeginStart(const host_offer& offer);
  /// Records the outcome of the start with `client_token`. After kUnknown it
  /// remains pending; other outcomes than kStarted begin or double the offer's
  /// backoff.
  void EndStart(const std::string& client_token, start_outcome outcome,
                time_point now);
  /// Removes the pending starts whose hosts appear in the cloud's host list.
  void OnHostsListed(const std::vector<cloud_host>& hosts);

  /// Pending starts, to be sent again.
  [[nodiscard]] std::vector<start_request> PendingStarts() const;
  /// Number of pending starts by offer; each may already have created a host.
  [[nodiscard]] offer_counts PendingCounts() const;
  /// False during the backoff of `offer`.
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

#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_START_LEDGER_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_START_LEDGER_H_

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
class start_ledger {
 public:
  /// `token_prefix` has to differ for each holder of the pool's lease.
  start_ledger(std::string pool_name, std::string token_prefix);

  /// A new start, open from now on.
  start_request Begin(const host_offer& offer);
  /// Settles the start with `client_token`, unless its outcome is unknown.
  void End(const std::string& client_token, start_outcome outcome,
           time_point now);
  /// Settles open starts that the cloud's list shows.
  void NoteListed(const std::vector<cloud_host>& hosts);

  /// Starts to be sent again.
  [[nodiscard]] std::vector<start_request> Open() const;
  /// Open starts by offer; each may have become a host.
  [[nodiscard]] offer_counts OpenCounts() const;
  /// False while starts of `offer` are put off.
  [[nodiscard]] bool Available(const host_offer& offer, time_point now) const;

  static constexpr std::chrono::seconds kFirstBackoff{30};
  static constexpr std::chrono::seconds kLongestBackoff{600};

 private:
  struct refusal {
    time_point until{};
    std::chrono::seconds backoff{};
  };

  std::string pool_name_;
  std::string token_prefix_;
  uint64_t next_ = 1;
  std::map<std::string, start_request> open_;
  std::map<host_offer, refusal> refused_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_START_LEDGER_H_

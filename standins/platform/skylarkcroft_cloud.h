#ifndef STANDINS_PLATFORM_SKYLARKCROFT_CLOUD_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_CLOUD_H_

#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_cloud_api.h"

namespace skylarkcroft::standin {

/// What the cloud sells: a machine class in an availability zone.
struct machine_offer {
  std::string availability_zone;
  std::string machine_class;
  bool reclaimable = true;

  auto operator<=>(const machine_offer&) const = default;
};

/// A host and the instants at which it runs and ends.
struct cloud_machine {
  cloud_host host;
  time_point runs_at;
  std::optional<time_point> ends_at;

  /// The host in its state at `now`.
  [[nodiscard]] cloud_host At(time_point now) const;
};

/// Answer to a start; `machine` is null when capacity is lacking.
struct cloud_start {
  const cloud_machine* machine = nullptr;
  /// False when an earlier call with the client token started it.
  bool started_now = false;

  bool operator==(const cloud_start&) const = default;
};

/// The hosts that the cloud has started, its prices and its capacity. An offer
/// without a stated capacity is unlimited.
class cloud {
 public:
  explicit cloud(duration start_delay) : start_delay_(start_delay) {}

  void SetPrices(std::vector<machine_price> prices);
  [[nodiscard]] const std::vector<machine_price>& prices() const {
    return prices_;
  }
  /// `available` hosts more may be started.
  void SetCapacity(const machine_offer& offer, int64_t available);
  /// Addresses for the next hosts in the zone; without any left, a host gets an
  /// address on loopback at which nothing listens.
  void AddAddresses(const std::string& availability_zone,
                    const std::vector<endpoint>& addresses);

  /// The machine that has the request's client token, started now if there is
  /// none. Throws config_error when the token was used for another request.
  cloud_start Start(const start_request& request, time_point now);
  /// False when there is no such host. Ending a host gives back capacity.
  bool End(const std::string& id, time_point now);
  /// The cloud takes the host at `at`, and keeps the capacity.
  void Reclaim(const std::string& id, time_point at);

  [[nodiscard]] const cloud_machine* Find(const std::string& id) const;
  [[nodiscard]] std::vector<cloud_host> Hosts(time_point now) const;

 private:
  endpoint NextAddress(const std::string& availability_zone);
  const cloud_machine* FindByToken(const start_request& request) const;
  cloud_machine* FindMutable(const std::string& id);
  bool TakeCapacity(const machine_offer& offer);

  duration start_delay_;
  std::vector<machine_price> prices_;
  std::map<machine_offer, int64_t> capacity_;
  std::map<std::string, std::deque<endpoint>> addresses_;
  /// A deque, since pointers to its elements are handed out.
  std::deque<cloud_machine> machines_;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_CLOUD_H_

#ifndef STANDINS_PLATFORM_SKYLARKCROFT_FLEET_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_FLEET_H_

#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_cloud_api.h"

namespace skylarkcroft::standin {

class cloud;
class lagging_host_list;

/// Which hosts the cloud takes back: those at `addresses`, and all in
/// `availability_zone` but for on-demand hosts; each may be empty.
struct reclaim_order {
  std::string availability_zone;
  std::vector<endpoint> addresses;
  milliseconds notice{0};

  bool operator==(const reclaim_order&) const = default;
};

/// Keeps the host list in step with the hosts that the cloud starts, ends and
/// reclaims, and issues the notices.
class fleet {
 public:
  fleet(cloud& machines, lagging_host_list& list);

  /// Empty when capacity is lacking. Throws config_error as cloud::Start().
  std::optional<cloud_host> Start(const start_request& request, time_point now);
  bool End(const std::string& id, time_point now);
  /// `wall_now_ms` is the same instant as `now`, since the Unix epoch.
  void Reclaim(const reclaim_order& order, time_point now, int64_t wall_now_ms);
  [[nodiscard]] std::vector<reclaim_notice> NoticesAfter(int64_t seq) const;

 private:
  void ReclaimMachines(const reclaim_order& order, time_point now,
                       int64_t reclaim_at_ms);
  void ReclaimListed(const reclaim_order& order, time_point now,
                     int64_t reclaim_at_ms);
  void AddNotice(reclaim_notice notice);

  cloud& machines_;
  lagging_host_list& list_;
  std::vector<reclaim_notice> notices_;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_FLEET_H_

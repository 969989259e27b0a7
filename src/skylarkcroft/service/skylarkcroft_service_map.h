#ifndef SKYLARKCROFT_SERVICE_SKYLARKCROFT_SERVICE_MAP_H_
#define SKYLARKCROFT_SERVICE_SKYLARKCROFT_SERVICE_MAP_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// When a route's requests may be sent again.
enum class retry_rule {
  kAlways,             ///< A request may be executed more than once.
  kOnlyIfNotExecuted,  ///< Only if the upstream did not execute the earlier
                       ///< attempt.
  kStream,  ///< As kAlways on a resumable route, else as kOnlyIfNotExecuted.
};

/// A service of a route, with its share of the traffic relative to the route's
/// other services.
struct weighted_service {
  std::string service;
  double weight = 1;

  bool operator==(const weighted_service&) const = default;
};

/// One entry of the operators' route table.
struct service_route {
  std::string name;
  std::string host;
  std::string path_prefix;
  retry_rule repeat = retry_rule::kAlways;
  std::vector<weighted_service> services;
  milliseconds timeout{0};         ///< 0: no timeout.
  milliseconds target_latency{0};  ///< 0: no target.
  int rank = 0;                    ///< 0 is the most urgent.
  int max_attempts = 1;
  bool anonymous_allowed = false;
  bool resumable = false;

  [[nodiscard]] bool MayExecuteTwice() const {
    return repeat == retry_rule::kAlways ||
           (repeat == retry_rule::kStream && resumable);
  }

  bool operator==(const service_route&) const = default;
};

/// Capacity of each engine of a pool, the same for all of them.
struct engine_capacity {
  int slots = 0;
  int64_t cache_tokens = 0;

  bool operator==(const engine_capacity&) const = default;
};

/// Price of an upstream in one availability zone, relative to other zones.
struct zone_price {
  std::string availability_zone;
  double price = 1;

  bool operator==(const zone_price&) const = default;
};

/// Limits and prices for ordering upstreams of a service.
struct scaling_limits {
  int min_per_zone = 0;
  int max_per_zone = 0;
  milliseconds boot_time{0};
  /// Price of a reclaimable upstream as a fraction of a non-reclaimable one's.
  double reclaimable_price = 1;
  std::vector<zone_price> zone_prices;

  bool operator==(const scaling_limits&) const = default;
};

/// One entry of the operators' pool table.
struct service_pool {
  std::string name;
  std::string health_path;
  int connection_limit = 0;  ///< Per upstream, over all its clients.
  std::optional<engine_capacity> engine;
  std::optional<scaling_limits> scaling;

  bool operator==(const service_pool&) const = default;
};

/// A workspace and its keys.
struct workspace_entry {
  std::string name;
  std::vector<std::string> keys;
  int rank = 0;
  double tokens_per_second = 0;  ///< 0: no limit.
  double burst_tokens = 0;
  /// Tokens charged for a request that doesn't state its own count.
  double default_request_tokens = 1;
  /// False charges every request as one token.
  bool counts_tokens = false;

  bool operator==(const workspace_entry&) const = default;
};

/// Limits on the size and time of what a client sends.
struct client_limits {
  size_t max_head_bytes = 16384;
  size_t max_body_bytes = 4194304;
  milliseconds head_timeout{3000};
  milliseconds idle_timeout{15000};

  bool operator==(const client_limits&) const = default;
};

/// The route and pool tables and the workspaces as of one version. Not modified
/// after construction, so that it can be shared.
struct service_map {
  int64_t version = 0;
  std::vector<service_route> routes;
  std::vector<service_pool> pools;
  std::vector<workspace_entry> workspaces;
  client_limits limits;

  bool operator==(const service_map&) const = default;
};

/// Looks up routes, pools and workspaces in one service_map.
class service_lookup {
 public:
  explicit service_lookup(service_map map);

  /// The route of `host` whose path prefix is the longest that matches `path`;
  /// null when there is none. Ignores the case and the port of `host`.
  [[nodiscard]] const service_route* FindRoute(std::string_view host,
                                               std::string_view path) const;
  [[nodiscard]] const service_pool* FindPool(std::string_view name) const;
  /// The workspace that owns `key`, or null.
  [[nodiscard]] const workspace_entry* FindWorkspaceByKey(
      std::string_view key) const;
  [[nodiscard]] const service_map& map() const { return map_; }

 private:
  struct key_owner {
    std::string key;
    size_t workspace;
  };

  service_map map_;
  /// Indexes into `map_.routes`, sorted by host and then by decreasing length
  /// of the path prefix.
  std::vector<size_t> route_order_;
  std::vector<key_owner> keys_;
};

/// Picks a service of `route` in proportion to the weights; `draw` is a random
/// number, uniform in [0, 1).
const std::string& ChooseService(const service_route& route, double draw);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_SERVICE_SKYLARKCROFT_SERVICE_MAP_H_

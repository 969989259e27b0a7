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

/// What may be repeated of a route's requests.
enum class repeat_rule {
  kAnyTime,     ///< Requests may run more than once.
  kOnlyNotRun,  ///< Requests run at most once for each client attempt.
  kStream,      ///< Like kOnlyNotRun, unless the stream may be resumed.
};

/// Part of a route's traffic that goes to one service.
struct weighted_service {
  std::string service;
  double weight = 1;

  bool operator==(const weighted_service&) const = default;
};

/// One line of the operators' route table.
struct service_route {
  std::string name;
  std::string host;
  std::string path_prefix;
  repeat_rule repeat = repeat_rule::kAnyTime;
  std::vector<weighted_service> services;
  milliseconds timeout{0};         ///< 0 sets no bound.
  milliseconds target_latency{0};  ///< 0 states no target.
  int rank = 0;                    ///< 0 is the most urgent.
  int max_attempts = 1;
  bool anonymous_allowed = false;
  bool resumable = false;

  [[nodiscard]] bool MayRunTwice() const {
    return repeat == repeat_rule::kAnyTime ||
           (repeat == repeat_rule::kStream && resumable);
  }

  bool operator==(const service_route&) const = default;
};

/// What a pool of model engines can hold; one record for all its engines.
struct engine_shape {
  int slots = 0;
  int64_t cache_tokens = 0;

  bool operator==(const engine_shape&) const = default;
};

/// Price of an upstream in one availability zone, relative to the others.
struct zone_price {
  std::string availability_zone;
  double price = 1;

  bool operator==(const zone_price&) const = default;
};

/// How many upstreams of a service may be ordered in each zone.
struct scaling_terms {
  int min_per_zone = 0;
  int max_per_zone = 0;
  milliseconds boot_time{0};
  /// Price of a reclaimable upstream as a share of any other's.
  double reclaimable_price = 1;
  std::vector<zone_price> zone_prices;

  bool operator==(const scaling_terms&) const = default;
};

/// One line of the operators' pool table.
struct service_pool {
  std::string name;
  std::string health_path;
  int connection_limit = 0;  ///< Of one upstream, for all its clients.
  std::optional<engine_shape> engine;
  std::optional<scaling_terms> scaling;

  bool operator==(const service_pool&) const = default;
};

/// A workspace and its keys.
struct workspace_entry {
  std::string name;
  std::vector<std::string> keys;
  int rank = 0;
  double tokens_per_second = 0;  ///< 0 sets no limit.
  double burst_tokens = 0;
  /// Size of a request that does not state its tokens.
  double plain_request_tokens = 1;
  /// False counts every request as one.
  bool counts_tokens = false;

  bool operator==(const workspace_entry&) const = default;
};

/// Bounds on what a client may send.
struct client_limits {
  size_t max_head_bytes = 16384;
  size_t max_body_bytes = 4194304;
  milliseconds head_timeout{3000};
  milliseconds idle_timeout{15000};

  bool operator==(const client_limits&) const = default;
};

/// Both tables as of one version. Shared and not changed after it is made.
struct service_map {
  int64_t version = 0;
  std::vector<service_route> routes;
  std::vector<service_pool> pools;
  std::vector<workspace_entry> workspaces;
  client_limits limits;

  bool operator==(const service_map&) const = default;
};

/// Finds routes, pools and workspaces of one service_map.
class service_lookup {
 public:
  explicit service_lookup(service_map map);

  /// The route of `host` with the longest prefix of `path`, or null. Host names
  /// compare without regard to case and without their port.
  [[nodiscard]] const service_route* FindRoute(std::string_view host,
                                               std::string_view path) const;
  [[nodiscard]] const service_pool* FindPool(std::string_view name) const;
  [[nodiscard]] const workspace_entry* FindKey(std::string_view key) const;
  [[nodiscard]] const service_map& map() const { return map_; }

 private:
  struct key_owner {
    std::string key;
    size_t workspace;
  };

  service_map map_;
  /// Routes by host, the longest prefix first.
  std::vector<size_t> route_order_;
  std::vector<key_owner> keys_;
};

/// The service of `route` for a request; `draw` is uniform in [0, 1).
const std::string& ChooseService(const service_route& route, double draw);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_SERVICE_SKYLARKCROFT_SERVICE_MAP_H_

#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_POOLS_TABLE_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_POOLS_TABLE_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

enum class pool_kind {
  kEngine,   ///< Model engines with a completions API.
  kService,  ///< Plain HTTP services.
};

/// Whether the upstreams of a pool check the fencing token of an order.
enum class fencing_mode { kChecked, kIgnored };

/// One back end of a pool.
struct upstream {
  std::string name;
  endpoint address;
  std::string availability_zone;
  /// Number of requests it runs concurrently.
  int64_t slots = 16;
  /// False for an on-demand host.
  bool reclaimable = true;
  /// Price of its host per hour.
  double price_per_hour = 0;

  bool operator==(const upstream&) const = default;
};

/// Limits on retries within a pool.
struct retry_policy {
  /// Retry budget as a share of first attempts, 0 to 1.
  double budget_share = 0.1;
  /// Attempts per request, the first one included.
  int64_t max_attempts = 4;
  milliseconds base_backoff{50};
  /// Longest time for which an upstream may send nothing during a response.
  milliseconds progress_timeout{5000};

  bool operator==(const retry_policy&) const = default;
};

/// The model that the engines of a pool run.
struct model_deployment {
  std::string model;
  std::string version = "1";
  std::vector<std::string> adapters;

  bool operator==(const model_deployment&) const = default;
};

/// Which hosts may be started for a pool. No host is started when `max_hosts`
/// is 0.
struct host_policy {
  int64_t min_hosts = 0;
  int64_t max_hosts = 0;
  std::vector<std::string> machine_classes;
  std::vector<std::string> availability_zones;
  /// Limit on the total price per hour of the pool's hosts; 0 means no limit.
  double max_price_per_hour = 0;

  bool operator==(const host_policy&) const = default;
};

/// A named set of interchangeable upstreams.
struct pool {
  std::string name;
  pool_kind kind = pool_kind::kEngine;
  model_deployment deployment;
  fencing_mode fencing = fencing_mode::kChecked;
  /// True when the upstreams support `GET /outcomes/KEY`, which returns the
  /// outcome of the request with that idempotency key.
  bool outcomes_readable = false;
  retry_policy retry;
  host_policy hosts;
  std::vector<upstream> upstreams;

  bool operator==(const pool&) const = default;
};

/// The operators' table of pools. Immutable after construction.
class pools_table {
 public:
  pools_table() = default;
  explicit pools_table(std::vector<pool> pools);

  [[nodiscard]] const std::vector<pool>& pools() const { return pools_; }
  /// The pool named `name`, or null.
  [[nodiscard]] const pool* Find(const std::string& name) const;

  bool operator==(const pools_table& other) const {
    return pools_ == other.pools_;
  }

 private:
  std::vector<pool> pools_;
  std::unordered_map<std::string, size_t> by_name_;
};

/// Parses and validates a pools document (format: docs/tables.md). Throws
/// config_error.
pools_table ParsePoolsTable(const nlohmann::json& document);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_POOLS_TABLE_H_

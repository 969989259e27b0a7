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
  kEngine,   ///< Model engines speaking the completions form.
  kService,  ///< Plain HTTP services.
};

/// What an upstream does with the fencing number of an order.
enum class fencing_mode { kChecked, kIgnored };

/// One back end of a pool.
struct upstream {
  std::string name;
  endpoint address;
  std::string availability_zone;
  /// Requests it runs at once.
  int64_t slots = 16;
  /// False for an on-demand host.
  bool reclaimable = true;
  /// Price of its host an hour.
  double price_per_hour = 0;

  bool operator==(const upstream&) const = default;
};

/// Bounds on repeating requests within a pool.
struct retry_policy {
  /// Retries allowed as a share of first tries.
  double budget_share = 0.1;
  int64_t max_attempts = 4;
  milliseconds base_backoff{50};
  /// Longest silence of an upstream while it answers.
  milliseconds progress_timeout{5000};

  bool operator==(const retry_policy&) const = default;
};

/// What runs on the engines of a pool.
struct model_deployment {
  std::string model;
  std::string version = "1";
  std::vector<std::string> adapters;

  bool operator==(const model_deployment&) const = default;
};

/// Which hosts may be bought for a pool. `max_hosts` 0 buys none.
struct host_policy {
  int64_t min_hosts = 0;
  int64_t max_hosts = 0;
  std::vector<std::string> machine_classes;
  std::vector<std::string> availability_zones;
  /// Ceiling on spending; 0 means none.
  double max_price_per_hour = 0;

  bool operator==(const host_policy&) const = default;
};

/// A named set of upstreams that can stand in for each other.
struct pool {
  std::string name;
  pool_kind kind = pool_kind::kEngine;
  model_deployment deployment;
  fencing_mode fencing = fencing_mode::kChecked;
  /// True when upstreams answer `GET /outcomes/KEY`.
  bool outcomes_readable = false;
  retry_policy retry;
  host_policy hosts;
  std::vector<upstream> upstreams;

  bool operator==(const pool&) const = default;
};

/// The table of pools. Immutable once built.
class pools_table {
 public:
  pools_table() = default;
  explicit pools_table(std::vector<pool> pools);

  [[nodiscard]] const std::vector<pool>& pools() const { return pools_; }
  /// The pool called `name`, or null.
  [[nodiscard]] const pool* Find(const std::string& name) const;

  bool operator==(const pools_table& other) const {
    return pools_ == other.pools_;
  }

 private:
  std::vector<pool> pools_;
  std::unordered_map<std::string, size_t> by_name_;
};

/// Reads the document of docs/tables.md. Throws config_error.
pools_table ParsePoolsTable(const nlohmann::json& document);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_POOLS_TABLE_H_

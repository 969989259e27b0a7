#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_DEPLOYMENT_ADAPTER_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_DEPLOYMENT_ADAPTER_H_

#include <functional>
#include <optional>
#include <string>

#include "skylarkcroft/placement/skylarkcroft_upstream_entry.h"
#include "skylarkcroft/relay/skylarkcroft_header_names.h"
#include "skylarkcroft/rollout/skylarkcroft_rollout_plan.h"
#include "skylarkcroft/service/skylarkcroft_service_map.h"
#include "skylarkcroft/store/skylarkcroft_row_store.h"

namespace skylarkcroft {

/// What the relay has to know of a deployment: where its store keeps the data,
/// how to parse it, and the names used in HTTP.
struct deployment_adapter {
  /// Name of the store's table that holds the operators' tables.
  std::string operator_tables_table;
  /// Key of the row of `operator_tables_table` that holds all of them.
  std::string operator_tables_key;
  /// Name of the store's table that lists the upstreams.
  std::string upstreams_table;
  /// Parses the value of a row; returns nothing if it is invalid.
  std::function<std::optional<service_map>(const std::string& value)>
      parse_tables;
  std::function<std::optional<upstream_entry>(const std::string& id,
                                              const std::string& value)>
      parse_upstream;
  /// Prefix of the keys of the rows of `operator_tables_table` that order a
  /// rollout.
  std::string rollout_key_prefix{};
  /// Parses the value of such a row; the position is left empty.
  std::function<std::optional<rollout_order>(const std::string& value)>
      parse_rollout{};
  /// The row that tells the operators the state of a rollout.
  std::function<row_change(const rollout_plan&)> rollout_status{};
  header_names names;
  std::string readiness_path;  ///< HTTP path of the readiness check.
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_DEPLOYMENT_ADAPTER_H_

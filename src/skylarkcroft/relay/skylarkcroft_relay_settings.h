#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_SETTINGS_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_SETTINGS_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/limits/skylarkcroft_token_quotas.h"

namespace skylarkcroft {

/// Addresses on which a relay node listens.
struct listen_addresses {
  endpoint clients;
  endpoint readiness;
  endpoint peers;
  endpoint metrics;

  bool operator==(const listen_addresses&) const = default;
};

/// Limits that the operators set for the whole system; docs/settings.md
/// describes each of them.
struct relay_bounds {
  milliseconds apply_deadline{2000};
  milliseconds revocation{5000};
  /// Whether a key that was taken away must be refused in that time also by a
  /// node that cannot reach the store, which then refuses every key.
  bool strict_revocation = true;
  milliseconds drain{2000};
  milliseconds grace_period{8000};
  double repeat_share = 0.2;
  milliseconds repeat_window{10000};
  double repeat_reserve = 54;
  quota_tolerance quotas;
  milliseconds lease{3000};
  milliseconds usage_window{5000};
  milliseconds usage_lateness{10000};
  /// Without it, the versions of upstreams are ignored and orders to roll out a
  /// version are not carried out.
  std::optional<double> exposure_share{};
  double exposure_slack = 50;
  milliseconds rollback{5000};

  bool operator==(const relay_bounds&) const = default;
};

/// Settings of one relay node.
struct relay_settings {
  std::string name;
  std::string availability_zone;
  /// True only when the whole system starts for the first time.
  bool first_start = false;
  listen_addresses listen;
  endpoint store;
  endpoint cloud;
  /// Whether this node may report usage and order upstreams.
  bool reports_usage = true;
  bool orders_fleet = true;
  relay_bounds bounds;
  /// Memory of the node's host in MB (1,048,576 bytes); 0 means no bound.
  int64_t memory_mb = 0;
  /// File descriptors that the process may have open; 0 means no bound.
  int64_t file_descriptors = 0;
  /// Whether upstreams that have just started or returned are limited.
  bool paces_upstreams = false;
  std::string log_level = "info";

  bool operator==(const relay_settings&) const = default;
};

/// Throws config_error with the JSON path, the reason and the remedy.
relay_settings ParseRelaySettings(const nlohmann::json& document);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_SETTINGS_H_

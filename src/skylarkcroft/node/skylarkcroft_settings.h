#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_SETTINGS_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_SETTINGS_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/deferred/skylarkcroft_deferred_worker.h"
#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Addresses of the platform's services.
struct platform_addresses {
  endpoint tables;
  endpoint objects;
  endpoint hosts;
  endpoint cloud;
  endpoint weights;
  milliseconds timeout{2000};

  bool operator==(const platform_addresses&) const = default;
};

/// How the tables are kept current.
struct table_settings {
  milliseconds poll_period{1000};
  /// Longest time without confirmation of the newest revision in which new
  /// requests are still taken.
  milliseconds staleness_bound{3000};

  bool operator==(const table_settings&) const = default;
};

/// Which decision objects run; each name is documented in docs/settings.md.
struct policy_settings {
  std::string admission = "ranked";
  std::string routing = "scored";
  /// Second tries for urgent idempotent work whose first token is late.
  bool hedging = true;

  bool operator==(const policy_settings&) const = default;
};

/// How long answers are kept for callers that lost their connection.
struct answer_settings {
  milliseconds detached_limit{30000};
  milliseconds retention{60000};

  bool operator==(const answer_settings&) const = default;
};

/// Bounds of a graceful shutdown.
struct shutdown_settings {
  /// Time between failing readiness and refusing connections.
  milliseconds settle{2000};
  milliseconds limit{120000};

  bool operator==(const shutdown_settings&) const = default;
};

/// Settings of one node, from the JSON file of docs/settings.md.
struct settings {
  std::string name;
  std::string availability_zone;
  std::string region;
  endpoint callers_address;
  endpoint operators_address;
  endpoint mesh_address;
  /// SHA-256 digest of the operators' bearer key; empty asks for none.
  std::string operator_key_digest;
  /// Key shared by the nodes, for authenticating mesh messages.
  std::string mesh_key;
  /// Mesh addresses of nodes to start from.
  std::vector<endpoint> peers;
  platform_addresses platform;
  http_server_limits http;
  table_settings tables;
  policy_settings policy;
  answer_settings answers;
  shutdown_settings shutdown;
  deferred_options deferred;
  std::string log_level = "info";
};

/// Throws config_error with the JSON path of the first fault.
settings ParseSettings(const nlohmann::json& document);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_SETTINGS_H_

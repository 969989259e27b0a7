#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_NODE_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "skylarkcroft/duties/skylarkcroft_duty_calls.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/log/skylarkcroft_logger.h"
#include "skylarkcroft/metrics/skylarkcroft_metrics_registry.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_entry.h"
#include "skylarkcroft/relay/skylarkcroft_header_names.h"
#include "skylarkcroft/relay/skylarkcroft_relay_settings.h"
#include "skylarkcroft/service/skylarkcroft_service_map.h"
#include "skylarkcroft/store/skylarkcroft_row_store.h"

namespace skylarkcroft {

/// Where a deployment keeps what the relay reads, and how to read it.
struct relay_sources {
  std::string tables_table;  ///< Holds the operators' tables,
  std::string tables_key;    ///< whole, in this row.
  std::string upstreams_table;
  /// Empty for a value that cannot be read.
  std::function<std::optional<service_map>(const std::string& value)>
      read_tables;
  std::function<std::optional<upstream_entry>(const std::string& id,
                                              const std::string& value)>
      read_upstream;
  header_names names;
  std::string readiness_path;
};

/// One node: serves clients, follows the store, talks to its peers and takes
/// its part in the duties.
class relay_node {
 public:
  /// Throws network_error when an address cannot be bound. All references
  /// outlive the node.
  relay_node(event_loop& loop, const relay_settings& settings,
             const relay_sources& sources, row_store& store, duty_calls& calls,
             logger& log, clock_fn clock, wall_clock_fn wall_clock);
  ~relay_node();
  relay_node(const relay_node&) = delete;
  relay_node& operator=(const relay_node&) = delete;

  /// Applies the bounds and the log level of `settings`; names and addresses
  /// stay until the next start.
  void Reload(const relay_settings& settings);
  /// Stops taking requests, ends those at work and stops the loop.
  void Shutdown();
  [[nodiscard]] endpoint clients_address() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_NODE_H_

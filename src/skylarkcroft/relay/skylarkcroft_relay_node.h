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
#include "skylarkcroft/relay/skylarkcroft_deployment_adapter.h"
#include "skylarkcroft/relay/skylarkcroft_header_names.h"
#include "skylarkcroft/relay/skylarkcroft_relay_settings.h"
#include "skylarkcroft/service/skylarkcroft_service_map.h"
#include "skylarkcroft/store/skylarkcroft_row_store.h"

namespace skylarkcroft {

/// A node of the system: serves clients, keeps local copies of the store's
/// tables, exchanges reports with its peers and takes part in the duties (usage
/// reports and fleet orders).
class relay_node {
 public:
  /// Throws network_error if an address cannot be bound. All references must
  /// outlive the node.
  relay_node(event_loop& loop, const relay_settings& settings,
             const deployment_adapter& adapter, row_store& store,
             duty_calls& calls, logger& log, clock_fn clock,
             wall_clock_fn wall_clock);
  ~relay_node();
  relay_node(const relay_node&) = delete;
  relay_node& operator=(const relay_node&) = delete;

  /// Applies the bounds and the log level of `settings`. Changes of names and
  /// addresses take effect at the next start only.
  void Reload(const relay_settings& settings);
  /// Shuts down: rejects new requests after a while, lets those in flight
  /// complete within the grace period, then stops the loop.
  void Shutdown();
  /// Address on which clients connect, with the actual port.
  [[nodiscard]] endpoint clients_address() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_NODE_H_

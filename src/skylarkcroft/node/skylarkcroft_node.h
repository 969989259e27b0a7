#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_H_

#include <memory>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/node/skylarkcroft_settings.h"

namespace skylarkcroft {

class event_loop;
class logger;

/// One entry host's daemon: listens for callers and operators, and serves until
/// it is shut down.
class node {
 public:
  /// Throws network_error when an address cannot be bound.
  node(event_loop& loop, const settings& config, logger& log);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  /// Fails readiness, waits for the balancer, finishes what it has, then stops
  /// the loop. A second call ends the wait at once.
  void Shutdown();

  [[nodiscard]] const endpoint& callers_address() const;
  [[nodiscard]] const endpoint& operators_address() const;
  [[nodiscard]] const endpoint& mesh_address() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_H_

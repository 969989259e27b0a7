#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_HANDOVER_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_HANDOVER_H_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "skylarkcroft/handover/skylarkcroft_handover_record.h"
#include "skylarkcroft/handover/skylarkcroft_handover_sender.h"
#include "skylarkcroft/handover/skylarkcroft_read_forwarder.h"
#include "skylarkcroft/handover/skylarkcroft_successors.h"
#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class event_loop;
class front;
class http_client;
class node_mesh;
class request_registry;
class request_runner;
struct settings;

/// What a node's handover works with; all outlive it.
struct node_handover_environment {
  event_loop& loop;
  http_client& client;
  const settings& config;
  request_registry& registry;
  front& callers;
  request_runner& runner;
  node_mesh& members;
  /// `NODE.INCARNATION` of this process.
  std::string owner;
  clock_fn clock;
  wall_clock_fn wall_clock;
};

/// Moves a leaving node's requests to another, takes over those of others, and
/// finds the node that has a request.
class node_handover {
 public:
  explicit node_handover(node_handover_environment environment);

  /// Offers every request that can be moved to other nodes. `done` runs when
  /// one has adopted some, or none has; what was not adopted goes on here.
  void HandOver(std::function<void(bool taken)> done);
  /// Answers `POST /peer/handover`.
  void OnHandover(const http_exchange_ptr& exchange);
  /// Passes a read on to the node that has the request; false when none is
  /// known to have it.
  bool ReadElsewhere(const http_exchange_ptr& exchange,
                     const std::string& request_id);
  [[nodiscard]] size_t active_reads() const { return reader_.active(); }

 private:
  [[nodiscard]] std::vector<handover_record> Collect(time_point now) const;
  [[nodiscard]] std::vector<handover_target> Targets() const;
  void OnAdopted(const handover_outcome& outcome);
  void GoOn(const std::vector<std::string>& ids);

  node_handover_environment environment_;
  handover_sender sender_;
  read_forwarder reader_;
  successor_table successors_;
  // Owners whose requests this node has, itself included.
  std::set<std::string> held_owners_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_HANDOVER_H_

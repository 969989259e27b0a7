#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_MESH_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_MESH_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh.h"
#include "skylarkcroft/mesh/skylarkcroft_nng_transport.h"
#include "skylarkcroft/tables/skylarkcroft_edit_propagation.h"
#include "skylarkcroft/tables/skylarkcroft_table_sync.h"

namespace skylarkcroft {

class host_list;
class logger;
struct host_list_result;
class metrics_registry;
class active_tables;
struct settings;

/// What a node's part in the mesh works with; all outlive it.
struct node_mesh_environment {
  event_loop& loop;
  const settings& config;
  active_tables& tables;
  metrics_registry& metrics;
  logger& log;
  /// Bound addresses of this node.
  endpoint callers;
  endpoint operators;
  host_list& hosts;
  std::function<void()> poll_store;
  uint64_t seed = 0;
};

/// Joins a node to the mesh: the transport, the timer, the tables that peers
/// have, and the wait for an edit to be in force.
class node_mesh {
 public:
  using direct_fn =
      std::function<void(const std::string& from, const std::string& payload,
                         const mesh_time& at)>;
  using record_fn = std::function<void(const mesh_record&, time_point now)>;
  using spread_fn = std::function<void(edit_propagation)>;

  /// Throws network_error when the mesh address cannot be bound.
  explicit node_mesh(node_mesh_environment environment);

  [[nodiscard]] mesh& part() { return mesh_; }
  [[nodiscard]] const endpoint& address() const { return transport_.address(); }

  /// `call` gets direct payloads under `topic`.
  void OnDirect(const std::string& topic, direct_fn call);
  /// `call` gets the records of others under `topic` as they change.
  void OnRecord(const std::string& topic, record_fn call);
  /// `call` runs every tick, about twenty times a second.
  void OnTick(std::function<void(const mesh_time&)> call);

  /// Calls `done` once every member that can be reached serves under
  /// `revision`, at the latest some time after the staleness bound.
  void AwaitSpread(int64_t revision, spread_fn done);
  /// The members, for the status report.
  [[nodiscard]] nlohmann::json Describe(time_point now) const;

 private:
  struct wait {
    tracked_edit edit;
    spread_fn done;
    time_point asked_at{};
  };

  mesh_options Options() const;
  member_details Self() const;
  mesh_callbacks Hooks();
  table_sync_callbacks SyncHooks();
  void Tick();
  void CheckWaits(const mesh_time& at);
  void AskAwaited(wait& waiting, const std::vector<std::string>& awaited,
                  const mesh_time& at);
  void CountMetrics();
  void PollHosts();
  void OnHosts(const host_list_result& result);

  node_mesh_environment environment_;
  nng_transport transport_;
  mesh mesh_;
  table_sync sync_;
  std::multimap<std::string, direct_fn> on_direct_;
  std::multimap<std::string, record_fn> on_record_;
  std::vector<std::function<void(const mesh_time&)>> on_tick_;
  std::list<wait> waits_;
  mesh_counts counted_;
  event_loop::handle_ptr tick_timer_;
  /// Mesh addresses of nodes that the platform has listed.
  std::set<endpoint> listed_;
  event_loop::handle_ptr metrics_timer_;
  event_loop::handle_ptr hosts_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_MESH_H_

#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_STORE_REPLICA_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_STORE_REPLICA_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/log/skylarkcroft_log_entry.h"
#include "skylarkcroft/peers/skylarkcroft_peer_group.h"
#include "skylarkcroft/placement/skylarkcroft_departed_upstreams.h"
#include "skylarkcroft/placement/skylarkcroft_load_balancer.h"
#include "skylarkcroft/relay/skylarkcroft_deployment_adapter.h"
#include "skylarkcroft/service/skylarkcroft_request_gate.h"
#include "skylarkcroft/store/skylarkcroft_table_follower.h"

namespace skylarkcroft {

/// Dependencies of store_replica. Everything referenced must outlive it.
struct store_replica_environment {
  event_loop& loop;
  row_store& store;
  const deployment_adapter& adapter;
  load_balancer& balancer;
  peer_group& group;
  clock_fn clock;
  /// Called when the store becomes unreachable or reachable again, for each
  /// table.
  std::function<void(const std::string& table, bool reachable)> on_contact;
  std::function<void(log_level level, const std::string& message,
                     const std::vector<log_field>& fields)>
      log;
  /// Sends changes that this node has read to its peers; may be empty.
  std::function<void(const table_changes&)> pass_on{};
  /// Called when the upstreams have been read in a new era of the store; may be
  /// empty.
  std::function<void(time_point now)> on_restored{};
  /// Called when other operators' tables are in force; may be empty.
  std::function<void()> on_tables{};
  /// Called for each call to the store that keeps a replica current; may be
  /// empty.
  std::function<void(const std::string& table, store_call_reason reason)>
      on_call{};
  /// Called with each order of a rollout that is read; may be empty.
  std::function<void(const rollout_order&)> on_rollout_order{};
};

/// Times within which nodes have to act on changes in the store.
struct replica_deadlines {
  milliseconds apply{2000};  ///< For a change of the operators' tables.
  milliseconds drain{2000};  ///< For an upstream that starts to drain.

  bool operator==(const replica_deadlines&) const = default;
};

/// A node's local copies of the store's tables: the operators' tables, the
/// upstreams and the list of nodes. Two nodes watch each table; the others
/// learn from the reports of these whether it has changed.
class store_replica {
 public:
  /// `node` is the name of this node.
  store_replica(store_replica_environment environment, std::string node,
                const replica_deadlines& deadlines);

  /// Starts to read the tables and adds this node to the list of nodes; it
  /// receives the reports of its peers at `peers`.
  void Start(const endpoint& peers, time_point now);
  void SetDeadlines(const replica_deadlines& deadlines) {
    deadlines_ = deadlines;
  }
  /// Updates which tables this node watches and how often it polls the others,
  /// from the number of live nodes; to be called regularly.
  void UpdatePolling(time_point now);
  /// Takes in the positions of a peer's copies, from its report.
  void OnPeerPositions(const std::optional<table_position>& tables,
                       const std::optional<table_position>& upstreams);

  /// Takes in changes that a peer passed on.
  void OnPeerChanges(const table_changes& changes);

  /// The active tables; null before the first read.
  [[nodiscard]] tables_snapshot tables() const {
    return {tables_, tables_follower_.current_as_of()};
  }
  /// True once the list of upstreams has been read.
  [[nodiscard]] bool upstreams_known() const {
    return upstreams_follower_.current_as_of().has_value();
  }
  [[nodiscard]] std::optional<time_point> upstreams_current_as_of() const {
    return upstreams_follower_.current_as_of();
  }
  [[nodiscard]] std::optional<table_position> tables_position() const {
    return tables_follower_.position();
  }
  [[nodiscard]] std::optional<table_position> upstreams_position() const {
    return upstreams_follower_.position();
  }

 private:
  table_follower_callbacks TablesEvents();
  table_follower_callbacks UpstreamsEvents();
  table_follower_callbacks NodesEvents();
  /// Reports the calls of the follower of `table`.
  [[nodiscard]] std::function<void(store_call_reason)> CallEvents(
      const std::string& table) const;
  /// Logs the responses to the follower of `table`, but those without news at
  /// debug level only.
  [[nodiscard]] std::function<void(const follower_response&)> ResponseEvents(
      const std::string& table) const;
  /// Log what a follower of `table` tells of changes that did not arrive.
  [[nodiscard]] std::function<void(const store_position&, const table_changes&)>
  GapEvents(const std::string& table) const;
  [[nodiscard]] std::function<void(const table_position&)> DifferingEvents(
      const std::string& table) const;
  [[nodiscard]] std::function<void(const stored_row&, int64_t)> MissedEvents(
      const std::string& table) const;
  void RecordStoreResponse(std::optional<time_point> at);
  void ApplyTablesRow(const stored_row& row);
  void ApplyRolloutRow(const stored_row& row);
  std::optional<upstream_entry> ParseUpstreamRow(const stored_row& row);
  void ResetUpstreams(const std::vector<stored_row>& rows, time_point now);
  void ApplyUpstreamRow(const stored_row& row, time_point now);
  /// Until when an upstream that the latest response of the store reports as
  /// leaving takes requests; `exits_after` is 0 when it is not known. Empty
  /// when it is not known since when it has been leaving.
  [[nodiscard]] std::optional<time_point> ServesUntil(
      milliseconds exits_after) const;
  /// When an upstream that has stated to exit after `exits_after` may do so at
  /// the earliest: the statement may be older than this node's copy of it.
  [[nodiscard]] time_point EarliestExit(milliseconds exits_after,
                                        time_point now) const;
  /// How old the latest change can be, in milliseconds; empty if not known.
  [[nodiscard]] std::string MaxChangeAge() const;
  void LogUpstreamChange(const stored_row& row, const std::string& state);
  void LogStoreContact(const std::string& table, bool reachable,
                       store_outcome outcome);
  void ApplyNodeRow(const stored_row& row, time_point now);
  void Join();

  store_replica_environment environment_;
  std::string node_;
  replica_deadlines deadlines_;
  endpoint peers_;
  std::shared_ptr<const service_lookup> tables_;
  table_follower tables_follower_;
  table_follower upstreams_follower_;
  table_follower nodes_follower_;
  /// Era of the store at the last whole read of the upstreams.
  std::optional<int64_t> upstreams_era_;
  departed_upstreams departed_;
  bool nodes_follower_started_ = false;
  event_loop::handle_ptr join_timer_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_STORE_REPLICA_H_

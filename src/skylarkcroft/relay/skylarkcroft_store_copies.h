#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_STORE_COPIES_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_STORE_COPIES_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/log/skylarkcroft_log_entry.h"
#include "skylarkcroft/peers/skylarkcroft_peer_group.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_board.h"
#include "skylarkcroft/relay/skylarkcroft_relay_sources.h"
#include "skylarkcroft/service/skylarkcroft_request_gate.h"
#include "skylarkcroft/store/skylarkcroft_table_follower.h"

namespace skylarkcroft {

/// What the copies work with; all outlive them.
struct store_copies_environment {
  event_loop& loop;
  row_store& store;
  const relay_sources& sources;
  upstream_board& board;
  peer_group& group;
  clock_fn clock;
  /// The store was lost or regained, as seen by one table.
  std::function<void(const std::string& table, bool reachable)> on_contact;
  std::function<void(log_level level, const std::string& message,
                     const std::vector<log_field>& fields)>
      log;
};

/// Times within which nodes have to act on what the store says.
struct copy_deadlines {
  milliseconds apply{2000};  ///< On a change of the operators' tables.
  milliseconds drain{2000};  ///< On an upstream that leaves.

  bool operator==(const copy_deadlines&) const = default;
};

/// What a node knows from the store: the operators' tables, the upstreams and
/// the other nodes. Two nodes watch each table for all; the others go by what
/// those tell of it.
class store_copies {
 public:
  /// `node` is the name of this node.
  store_copies(store_copies_environment environment, std::string node,
               const copy_deadlines& deadlines);

  /// Begins to read, and enters this node, which hears its peers at `peers`.
  void Start(const endpoint& peers, time_point now);
  void SetDeadlines(const copy_deadlines& deadlines) { deadlines_ = deadlines; }
  /// Settles whether this node watches; to be called often.
  void Pace(time_point now);
  /// What a peer says of its copies.
  void NotePeer(const std::optional<table_position>& tables,
                const std::optional<table_position>& upstreams);

  [[nodiscard]] gate_view tables() const {
    return {tables_, tables_follower_.current_as_of()};
  }
  [[nodiscard]] bool upstreams_known() const {
    return upstreams_follower_.current_as_of().has_value();
  }
  [[nodiscard]] std::optional<table_position> tables_position() const {
    return tables_follower_.position();
  }
  [[nodiscard]] std::optional<table_position> upstreams_position() const {
    return upstreams_follower_.position();
  }

 private:
  follower_events TablesEvents();
  follower_events UpstreamsEvents();
  follower_events NodesEvents();
  void TakeTables(const stored_row& row);
  std::optional<upstream_entry> ReadUpstream(const stored_row& row);
  void OnUpstreamRow(const stored_row& row, time_point now);
  void SayUpstream(const stored_row& row, const std::string& state);
  void SayContact(const std::string& table, bool reachable, store_outcome why);
  void TakeNode(const stored_row& row, time_point now);
  void Join();

  store_copies_environment environment_;
  std::string node_;
  copy_deadlines deadlines_;
  endpoint peers_;
  std::shared_ptr<const service_lookup> tables_;
  table_follower tables_follower_;
  table_follower upstreams_follower_;
  table_follower nodes_follower_;
  bool nodes_followed_ = false;
  event_loop::handle_ptr join_timer_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_STORE_COPIES_H_

#include "skylarkcroft/relay/skylarkcroft_store_replica.h"

#include <algorithm>
#include <utility>

#include "skylarkcroft/control/skylarkcroft_rendezvous.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {
namespace {

constexpr const char* kNodesTable = "nodes";
// The list of nodes only serves to find the first peers; after that, nodes
// learn of each other from reports.
constexpr milliseconds kNodesPollInterval{30000};
// A node polls a table when its copy is older than this share of the time
// within which it has to act on a change, even if the nodes that watch it are
// silent.
constexpr double kPollDeadlineShare = 0.6;
// Nodes that watch each table on behalf of all; two, so that one may fail.
constexpr size_t kTableWatchers = 2;
// Pause of each node between two reads of a changing table, per node in the
// system, so that the total rate of calls to the store does not grow with the
// number of nodes.
constexpr milliseconds kChangePausePerNode{12};
constexpr milliseconds kMinChangePause{500};
constexpr milliseconds kMaxChangePause{1000};
// Spread of the whole reads after a restore of the store, per node in the
// system, so that they take a part of its rate only; the bound keeps the time
// to act on changes.
constexpr milliseconds kWholeReadSpreadPerNode{3};
constexpr milliseconds kMaxWholeReadSpread{1000};
constexpr milliseconds kJoinRetryDelay{500};
// Requests to a draining upstream have to end this long before it may exit.
constexpr milliseconds kDrainMargin{200};

table_follower_parameters MakePollingParameters(milliseconds max_age) {
  table_follower_parameters parameters;
  parameters.max_staleness = max_age;
  // Each watch call returns after half that age at the latest, so that its
  // result reaches the other nodes before they would poll.
  parameters.watch_timeout = max_age / 2;
  return parameters;
}

milliseconds PollInterval(milliseconds deadline) {
  return milliseconds(static_cast<milliseconds::rep>(
      kPollDeadlineShare * static_cast<double>(deadline.count())));
}

}  // namespace

store_replica::store_replica(store_replica_environment environment,
                             std::string node,
                             const replica_deadlines& deadlines)
    : environment_(std::move(environment)),
      node_(std::move(node)),
      deadlines_(deadlines),
      tables_follower_(environment_.loop, environment_.store,
                       environment_.adapter.operator_tables_table,
                       table_follower_parameters{}, TablesEvents(),
                       environment_.clock),
      upstreams_follower_(environment_.loop, environment_.store,
                          environment_.adapter.upstreams_table,
                          table_follower_parameters{}, UpstreamsEvents(),
                          environment_.clock),
      nodes_follower_(environment_.loop, environment_.store, kNodesTable,
                      MakePollingParameters(kNodesPollInterval), NodesEvents(),
                      environment_.clock) {}

void store_replica::Start(const endpoint& peers, time_point now) {
  peers_ = peers;
  nodes_follower_.SetWatching(false);
  UpdatePolling(now);
  tables_follower_.Start();
  upstreams_follower_.Start();
  Join();
}

void store_replica::OnPeerPositions(
    const std::optional<table_position>& tables,
    const std::optional<table_position>& upstreams) {
  if (tables.has_value()) {
    tables_follower_.OnPeerReport(*tables);
  }
  if (upstreams.has_value()) {
    RecordStoreResponse(
        upstreams_follower_.ResponseTime(*upstreams, environment_.clock()));
    upstreams_follower_.OnPeerReport(*upstreams);
  }
}

void store_replica::RecordStoreResponse(std::optional<time_point> at) {
  if (at.has_value()) {
    environment_.balancer.OnStoreResponse(*at);
  }
}

void store_replica::OnPeerChanges(const table_changes& changes) {
  if (changes.table == environment_.adapter.operator_tables_table) {
    tables_follower_.OnPeerChanges(changes);
  } else if (changes.table == environment_.adapter.upstreams_table) {
    upstreams_follower_.OnPeerChanges(changes);
  }
}

void store_replica::UpdatePolling(time_point now) {
  RecordStoreResponse(upstreams_follower_.current_as_of());
  const milliseconds upstreams_pause = std::clamp(
      kChangePausePerNode *
          static_cast<milliseconds::rep>(environment_.group.NodeCount(now)),
      kMinChangePause, kMaxChangePause);
  table_follower_parameters tables =
      MakePollingParameters(PollInterval(deadlines_.apply));
  tables.change_delay = kMinChangePause;
  const milliseconds whole_read_spread = std::min(
      kMaxWholeReadSpread,
      kWholeReadSpreadPerNode *
          static_cast<milliseconds::rep>(environment_.group.NodeCount(now)));
  tables.max_whole_read_delay = whole_read_spread;
  tables_follower_.SetParameters(tables);
  table_follower_parameters upstreams =
      MakePollingParameters(PollInterval(deadlines_.drain));
  upstreams.change_delay = upstreams_pause;
  upstreams.max_whole_read_delay = whole_read_spread;
  upstreams_follower_.SetParameters(upstreams);
  const std::vector<std::string> members = environment_.group.LivePeers(now);
  const auto is_watcher = [&](const std::string& table) {
    return RendezvousPosition(table, node_, members) < kTableWatchers;
  };
  tables_follower_.SetWatching(
      is_watcher(environment_.adapter.operator_tables_table));
  upstreams_follower_.SetWatching(
      is_watcher(environment_.adapter.upstreams_table));
}

std::function<void(store_call_reason)> store_replica::CallEvents(
    const std::string& table) const {
  return [on_call = environment_.on_call, table](store_call_reason reason) {
    if (on_call != nullptr) {
      on_call(table, reason);
    }
  };
}

std::function<void(const follower_response&)> store_replica::ResponseEvents(
    const std::string& table) const {
  return [log = environment_.log, table](const follower_response& response) {
    const bool is_news =
        response.rows > 0 || response.outcome != store_outcome::kDone;
    const auto text_of = [](const std::optional<milliseconds>& time) {
      return time.has_value() ? std::to_string(time->count()) : std::string();
    };
    log(is_news ? log_level::kInfo : log_level::kDebug, "store response",
        {{"table", table},
         {"outcome", std::string(ToString(response.outcome))},
         {"rows", std::to_string(response.rows)},
         {"value_bytes", std::to_string(response.value_bytes)},
         {"after", std::to_string(response.after)},
         {"newest_row", std::to_string(response.newest_row)},
         {"version", std::to_string(response.version)},
         {"store_ms", text_of(response.store_clock)},
         {"took_ms", std::to_string(response.took.count())},
         {"age_ms", text_of(response.age)}});
  };
}

std::function<void(const store_position&, const table_changes&)>
store_replica::GapEvents(const std::string& table) const {
  return [log = environment_.log, table](const store_position& place,
                                         const table_changes& changes) {
    log(log_level::kInfo, "changes missing",
        {{"table", table},
         {"position", ToString(place)},
         {"next_after", std::to_string(changes.after)},
         {"next_up_to", std::to_string(changes.up_to)}});
  };
}

std::function<void(const table_position&)> store_replica::DifferingEvents(
    const std::string& table) const {
  return [log = environment_.log, table](const table_position& own) {
    log(log_level::kWarn, "replica differs from peers",
        {{"table", table}, {"position", ToString(own.newest_change)}});
  };
}

std::function<void(const stored_row&, int64_t)> store_replica::MissedEvents(
    const std::string& table) const {
  return [log = environment_.log, table](const stored_row& row,
                                         int64_t known_version) {
    log(log_level::kError, "change was missed",
        {{"table", table},
         {"row", row.key},
         {"row_version", std::to_string(row.version)},
         {"known_version", std::to_string(known_version)}});
  };
}

table_follower_callbacks store_replica::TablesEvents() {
  return {[this](const std::vector<stored_row>& rows, time_point /*now*/) {
            for (const stored_row& row : rows) {
              ApplyTablesRow(row);
            }
            // The list of nodes is polled too seldom to learn of a new era.
            nodes_follower_.OnPeerReport(
                {{tables_follower_.place().era, 0}, milliseconds(0)});
          },
          [this](const stored_row& row, time_point /*now*/) {
            ApplyTablesRow(row);
          },
          [this](bool reachable, store_outcome outcome, time_point /*now*/) {
            LogStoreContact(environment_.adapter.operator_tables_table,
                            reachable, outcome);
          },
          environment_.pass_on,
          GapEvents(environment_.adapter.operator_tables_table),
          DifferingEvents(environment_.adapter.operator_tables_table),
          MissedEvents(environment_.adapter.operator_tables_table),
          CallEvents(environment_.adapter.operator_tables_table),
          ResponseEvents(environment_.adapter.operator_tables_table)};
}

table_follower_callbacks store_replica::UpstreamsEvents() {
  return {[this](const std::vector<stored_row>& rows, time_point now) {
            ResetUpstreams(rows, now);
          },
          [this](const stored_row& row, time_point now) {
            ApplyUpstreamRow(row, now);
          },
          [this](bool reachable, store_outcome outcome, time_point now) {
            RecordStoreResponse(upstreams_follower_.current_as_of());
            environment_.balancer.OnStoreContact(reachable, now);
            LogStoreContact(environment_.adapter.upstreams_table, reachable,
                            outcome);
          },
          environment_.pass_on,
          GapEvents(environment_.adapter.upstreams_table),
          DifferingEvents(environment_.adapter.upstreams_table),
          MissedEvents(environment_.adapter.upstreams_table),
          CallEvents(environment_.adapter.upstreams_table),
          ResponseEvents(environment_.adapter.upstreams_table)};
}

void store_replica::ResetUpstreams(const std::vector<stored_row>& rows,
                                   time_point now) {
  const int64_t era = upstreams_follower_.place().era;
  const bool restored = upstreams_era_.has_value() && *upstreams_era_ != era;
  upstreams_era_ = era;
  std::vector<upstream_entry> entries;
  for (const stored_row& row : rows) {
    std::optional<upstream_entry> entry = ParseUpstreamRow(row);
    if (!entry.has_value()) {
      continue;
    }
    if (entry->is_draining) {
      departed_.Record(*entry, now);
    } else if (restored && departed_.Contains(*entry)) {
      // The copy is older than the upstream's departure.
      entry->is_draining = true;
      LogUpstreamChange(row, "left before");
    }
    entries.push_back(*entry);
  }
  if (restored) {
    environment_.balancer.OnStoreRestored(now);
    if (environment_.on_restored != nullptr) {
      environment_.on_restored(now);
    }
  }
  environment_.balancer.Reset(entries, now);
  environment_.log(log_level::kInfo, "upstreams read",
                   {{"entries", std::to_string(entries.size())},
                    {"position", ToString(upstreams_follower_.place())}});
}

table_follower_callbacks store_replica::NodesEvents() {
  return {
      [this](const std::vector<stored_row>& rows, time_point now) {
        bool listed = false;
        for (const stored_row& row : rows) {
          ApplyNodeRow(row, now);
          listed = listed || row.key == node_;
        }
        if (!listed) {
          // The store has come back from a copy made before this node joined.
          Join();
        }
      },
      [this](const stored_row& row, time_point now) { ApplyNodeRow(row, now); },
      [](bool /*reachable*/, store_outcome /*outcome*/, time_point) {},
      {},
      GapEvents(kNodesTable),
      DifferingEvents(kNodesTable),
      MissedEvents(kNodesTable),
      CallEvents(kNodesTable),
      ResponseEvents(kNodesTable)};
}

void store_replica::ApplyRolloutRow(const stored_row& row) {
  std::optional<rollout_order> order =
      environment_.adapter.parse_rollout(row.value);
  const std::string& prefix = environment_.adapter.rollout_key_prefix;
  if (!order.has_value() || row.key != prefix + order->service) {
    environment_.log(
        log_level::kError, "rollout order unreadable",
        {{"row", row.key}, {"row_version", std::to_string(row.version)}});
    return;
  }
  order->position = {tables_follower_.place().era, row.version};
  environment_.on_rollout_order(*order);
}

void store_replica::ApplyTablesRow(const stored_row& row) {
  const std::string& prefix = environment_.adapter.rollout_key_prefix;
  const bool is_order = environment_.on_rollout_order != nullptr &&
                        !prefix.empty() && row.key.starts_with(prefix);
  if (is_order && !row.removed) {
    ApplyRolloutRow(row);
    return;
  }
  if (row.key != environment_.adapter.operator_tables_key || row.removed) {
    return;
  }
  std::optional<service_map> parsed =
      environment_.adapter.parse_tables(row.value);
  if (!parsed.has_value()) {
    environment_.log(log_level::kError, "tables unreadable",
                     {{"row_version", std::to_string(row.version)}});
    return;
  }
  const bool is_older =
      tables_ != nullptr && parsed->version < tables_->map().version;
  if (is_older) {
    environment_.log(log_level::kWarn, "older tables ignored",
                     {{"version", std::to_string(parsed->version)},
                      {"in_force", std::to_string(tables_->map().version)}});
    return;
  }
  environment_.log(log_level::kInfo, "tables in force",
                   {{"version", std::to_string(parsed->version)},
                    {"routes", std::to_string(parsed->routes.size())},
                    {"era", std::to_string(tables_follower_.place().era)},
                    {"row_version", std::to_string(row.version)}});
  tables_ = std::make_shared<const service_lookup>(*std::move(parsed));
  if (environment_.on_tables != nullptr) {
    environment_.on_tables();
  }
}

std::optional<upstream_entry> store_replica::ParseUpstreamRow(
    const stored_row& row) {
  std::optional<upstream_entry> entry =
      environment_.adapter.parse_upstream(row.key, row.value);
  if (!entry.has_value()) {
    environment_.log(
        log_level::kWarn, "upstream entry unreadable",
        {{"upstream", row.key}, {"row_version", std::to_string(row.version)}});
  }
  return entry;
}

void store_replica::ApplyUpstreamRow(const stored_row& row, time_point now) {
  load_balancer& balancer = environment_.balancer;
  const upstream_entry* known = balancer.Find(row.key);
  const bool was_serving = known != nullptr && !known->is_draining;
  if (row.removed) {
    if (known != nullptr) {
      departed_.Record(*known, now);
    }
    const std::optional<time_point> serves_until = ServesUntil(milliseconds(0));
    if (was_serving && serves_until.has_value()) {
      balancer.RemoveUnannounced(row.key, *serves_until, now);
    } else {
      balancer.Remove(row.key, now);
    }
    LogUpstreamChange(row, "removed");
    return;
  }
  const std::optional<upstream_entry> entry = ParseUpstreamRow(row);
  if (!entry.has_value()) {
    balancer.Remove(row.key, now);
    return;
  }
  if (known == nullptr || !(*known == *entry)) {
    LogUpstreamChange(row, entry->is_draining ? "leaving" : "ready");
  }
  if (entry->is_draining) {
    departed_.Record(*entry, now);
  } else {
    departed_.Forget(entry->id);
  }
  balancer.Put(*entry, now);
  if (entry->is_draining && entry->exits_after.count() > 0) {
    balancer.RecordExit(*entry, EarliestExit(entry->exits_after, now), now);
  }
  const std::optional<time_point> serves_until =
      ServesUntil(entry->exits_after);
  if (was_serving && entry->is_draining && serves_until.has_value()) {
    balancer.AllowWhileDraining(entry->id, *serves_until);
  }
}

std::optional<time_point> store_replica::ServesUntil(
    milliseconds exits_after) const {
  const std::optional<time_point> served_at =
      upstreams_follower_.previously_current_as_of();
  if (!served_at.has_value()) {
    return std::nullopt;
  }
  const milliseconds time_left = exits_after.count() > 0
                                     ? std::min(deadlines_.drain, exits_after)
                                     : deadlines_.drain;
  return *served_at + time_left - kDrainMargin;
}

time_point store_replica::EarliestExit(milliseconds exits_after,
                                       time_point now) const {
  const std::optional<time_point> told_after =
      upstreams_follower_.previously_current_as_of();
  return told_after.has_value() ? *told_after + exits_after - kDrainMargin
                                : now;
}

void store_replica::LogUpstreamChange(const stored_row& row,
                                      const std::string& state) {
  environment_.log(log_level::kInfo, "upstream changed",
                   {{"upstream", row.key},
                    {"state", state},
                    {"row_version", std::to_string(row.version)},
                    {"max_age_ms", MaxChangeAge()}});
}

std::string store_replica::MaxChangeAge() const {
  const std::optional<time_point> current_before =
      upstreams_follower_.previously_current_as_of();
  if (!current_before.has_value()) {
    return "";
  }
  return std::to_string(std::chrono::duration_cast<milliseconds>(
                            environment_.clock() - *current_before)
                            .count());
}

void store_replica::LogStoreContact(const std::string& table, bool reachable,
                                    store_outcome outcome) {
  environment_.on_contact(table, reachable);
  environment_.log(
      reachable ? log_level::kInfo : log_level::kWarn,
      reachable ? "store regained" : "store lost",
      {{"table", table}, {"outcome", std::string(ToString(outcome))}});
}

void store_replica::ApplyNodeRow(const stored_row& row, time_point now) {
  if (row.removed) {
    return;
  }
  try {
    environment_.group.OnListed(row.key, ParseEndpoint(row.value, "$"), now);
  } catch (const config_error& error) {
    environment_.log(log_level::kWarn, "node entry unreadable",
                     {{"node", row.key}, {"error", error.what()}});
  }
}

void store_replica::Join() {
  const row_transaction registration{{},
                                     {{kNodesTable, node_, ToString(peers_)}}};
  environment_.store.Commit(registration, [this](const store_response& view) {
    // Read the list only after the write: of two nodes that join at the same
    // time, the one that reads later then finds the other.
    if (!nodes_follower_started_) {
      nodes_follower_started_ = true;
      nodes_follower_.Start();
    }
    if (view.outcome != store_outcome::kDone) {
      // As well where it is not known: writing the row twice changes nothing.
      join_timer_ =
          environment_.loop.After(kJoinRetryDelay, [this] { Join(); });
    }
  });
}

}  // namespace skylarkcroft

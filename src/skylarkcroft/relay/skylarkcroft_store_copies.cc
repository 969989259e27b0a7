#include "skylarkcroft/relay/skylarkcroft_store_copies.h"

#include <algorithm>
#include <utility>

#include "skylarkcroft/control/skylarkcroft_rendezvous.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {
namespace {

constexpr const char* kNodesTable = "nodes";
// Nodes hear of each other directly; the list only helps them to begin.
constexpr milliseconds kNodesPollAge{30000};
// A table is asked for at the latest at this part of the time in which a change
// has to be acted on, whatever the nodes that watch it do.
constexpr double kPollShare = 0.6;
// Nodes that watch a table for all others; one covers for the other.
constexpr size_t kTableWatchers = 2;
// A table that changes is read by every node at most this often for each node,
// so that calls stay bounded as nodes are added.
constexpr milliseconds kChangePauseEachNode{12};
constexpr milliseconds kShortestChangePause{500};
constexpr milliseconds kLongestChangePause{1000};
constexpr milliseconds kJoinRetry{500};

follower_terms PollingEvery(milliseconds age) {
  follower_terms terms;
  terms.poll_age = age;
  // A watch that is answered half as late keeps the others from polling.
  terms.watch_wait = age / 2;
  return terms;
}

milliseconds PollAge(milliseconds deadline) {
  return milliseconds(static_cast<milliseconds::rep>(
      kPollShare * static_cast<double>(deadline.count())));
}

}  // namespace

store_copies::store_copies(store_copies_environment environment,
                           std::string node, const copy_deadlines& deadlines)
    : environment_(std::move(environment)),
      node_(std::move(node)),
      deadlines_(deadlines),
      tables_follower_(environment_.loop, environment_.store,
                       environment_.sources.tables_table, follower_terms{},
                       TablesEvents(), environment_.clock),
      upstreams_follower_(environment_.loop, environment_.store,
                          environment_.sources.upstreams_table,
                          follower_terms{}, UpstreamsEvents(),
                          environment_.clock),
      nodes_follower_(environment_.loop, environment_.store, kNodesTable,
                      PollingEvery(kNodesPollAge), NodesEvents(),
                      environment_.clock) {}

void store_copies::Start(const endpoint& peers, time_point now) {
  peers_ = peers;
  nodes_follower_.SetWatching(false);
  Pace(now);
  tables_follower_.Start();
  upstreams_follower_.Start();
  Join();
}

void store_copies::NotePeer(const std::optional<table_position>& tables,
                            const std::optional<table_position>& upstreams) {
  if (tables.has_value()) {
    tables_follower_.NotePeer(*tables);
  }
  if (upstreams.has_value()) {
    upstreams_follower_.NotePeer(*upstreams);
  }
}

void store_copies::Pace(time_point now) {
  const milliseconds pause = std::clamp(
      kChangePauseEachNode *
          static_cast<milliseconds::rep>(environment_.group.Counted(now)),
      kShortestChangePause, kLongestChangePause);
  follower_terms tables = PollingEvery(PollAge(deadlines_.apply));
  tables.change_pause = kShortestChangePause;
  tables_follower_.SetTerms(tables);
  follower_terms upstreams = PollingEvery(PollAge(deadlines_.drain));
  upstreams.change_pause = pause;
  upstreams_follower_.SetTerms(upstreams);
  const std::vector<std::string> members = environment_.group.Live(now);
  const auto watches = [&](const std::string& table) {
    return RendezvousPlace(table, node_, members) < kTableWatchers;
  };
  tables_follower_.SetWatching(watches(environment_.sources.tables_table));
  upstreams_follower_.SetWatching(
      watches(environment_.sources.upstreams_table));
}

follower_events store_copies::TablesEvents() {
  return {
      [this](const std::vector<stored_row>& rows, time_point /*now*/) {
        for (const stored_row& row : rows) {
          TakeTables(row);
        }
      },
      [this](const stored_row& row, time_point /*now*/) { TakeTables(row); },
      [this](bool reachable, store_outcome why, time_point /*now*/) {
        SayContact(environment_.sources.tables_table, reachable, why);
      }};
}

follower_events store_copies::UpstreamsEvents() {
  return {[this](const std::vector<stored_row>& rows, time_point now) {
            std::vector<upstream_entry> entries;
            for (const stored_row& row : rows) {
              const std::optional<upstream_entry> entry = ReadUpstream(row);
              if (entry.has_value()) {
                entries.push_back(*entry);
              }
            }
            environment_.board.Reset(entries, now);
            environment_.log(
                log_level::kInfo, "upstreams read",
                {{"entries", std::to_string(entries.size())},
                 {"version", std::to_string(upstreams_follower_.version())}});
          },
          [this](const stored_row& row, time_point now) {
            OnUpstreamRow(row, now);
          },
          [this](bool reachable, store_outcome why, time_point now) {
            environment_.board.NoteStoreContact(reachable, now);
            SayContact(environment_.sources.upstreams_table, reachable, why);
          }};
}

follower_events store_copies::NodesEvents() {
  return {[this](const std::vector<stored_row>& rows, time_point now) {
            for (const stored_row& row : rows) {
              TakeNode(row, now);
            }
          },
          [this](const stored_row& row, time_point now) { TakeNode(row, now); },
          [](bool /*reachable*/, store_outcome /*why*/, time_point) {}};
}

void store_copies::TakeTables(const stored_row& row) {
  if (row.key != environment_.sources.tables_key || row.removed) {
    return;
  }
  std::optional<service_map> read = environment_.sources.read_tables(row.value);
  if (!read.has_value()) {
    environment_.log(log_level::kError, "tables unreadable",
                     {{"row_version", std::to_string(row.version)}});
    return;
  }
  const bool older =
      tables_ != nullptr && read->version < tables_->map().version;
  if (older) {
    environment_.log(log_level::kWarn, "older tables ignored",
                     {{"version", std::to_string(read->version)},
                      {"in_force", std::to_string(tables_->map().version)}});
    return;
  }
  environment_.log(log_level::kInfo, "tables in force",
                   {{"version", std::to_string(read->version)},
                    {"routes", std::to_string(read->routes.size())},
                    {"row_version", std::to_string(row.version)}});
  tables_ = std::make_shared<const service_lookup>(*std::move(read));
}

std::optional<upstream_entry> store_copies::ReadUpstream(
    const stored_row& row) {
  std::optional<upstream_entry> entry =
      environment_.sources.read_upstream(row.key, row.value);
  if (!entry.has_value()) {
    environment_.log(
        log_level::kWarn, "upstream entry unreadable",
        {{"upstream", row.key}, {"row_version", std::to_string(row.version)}});
  }
  return entry;
}

void store_copies::OnUpstreamRow(const stored_row& row, time_point now) {
  const upstream_entry* known = environment_.board.Find(row.key);
  if (row.removed) {
    environment_.board.Remove(row.key, now);
    SayUpstream(row, "removed");
    return;
  }
  const std::optional<upstream_entry> entry = ReadUpstream(row);
  if (!entry.has_value()) {
    environment_.board.Remove(row.key, now);
    return;
  }
  if (known == nullptr || !(*known == *entry)) {
    SayUpstream(row, entry->leaving ? "leaving" : "ready");
  }
  environment_.board.Put(*entry, now);
}

void store_copies::SayUpstream(const stored_row& row,
                               const std::string& state) {
  environment_.log(log_level::kInfo, "upstream changed",
                   {{"upstream", row.key},
                    {"state", state},
                    {"row_version", std::to_string(row.version)}});
}

void store_copies::SayContact(const std::string& table, bool reachable,
                              store_outcome why) {
  environment_.on_contact(table, reachable);
  environment_.log(reachable ? log_level::kInfo : log_level::kWarn,
                   reachable ? "store regained" : "store lost",
                   {{"table", table}, {"outcome", std::string(ToString(why))}});
}

void store_copies::TakeNode(const stored_row& row, time_point now) {
  if (row.removed) {
    return;
  }
  try {
    environment_.group.NoteListed(row.key, ParseEndpoint(row.value, "$"), now);
  } catch (const config_error& failure) {
    environment_.log(log_level::kWarn, "node entry unreadable",
                     {{"node", row.key}, {"error", failure.what()}});
  }
}

void store_copies::Join() {
  const row_transaction entry{{}, {{kNodesTable, node_, ToString(peers_)}}};
  environment_.store.Commit(entry, [this](const store_view& view) {
    // Of two nodes that join, the one that reads later finds the other.
    if (!nodes_followed_) {
      nodes_followed_ = true;
      nodes_follower_.Start();
    }
    if (view.outcome != store_outcome::kDone) {
      join_timer_ = environment_.loop.After(kJoinRetry, [this] { Join(); });
    }
  });
}

}  // namespace skylarkcroft

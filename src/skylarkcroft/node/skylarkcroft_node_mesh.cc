#include "skylarkcroft/node/skylarkcroft_node_mesh.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_digest.h"
#include "skylarkcroft/log/skylarkcroft_logger.h"
#include "skylarkcroft/metrics/skylarkcroft_metrics_registry.h"
#include "skylarkcroft/node/skylarkcroft_settings.h"
#include "skylarkcroft/platform/skylarkcroft_host_list.h"
#include "skylarkcroft/tables/skylarkcroft_active_tables.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kTickPeriod{50};
constexpr milliseconds kMetricsPeriod{1000};
constexpr milliseconds kHostsPeriod{2000};
constexpr milliseconds kAskPeriod{100};
constexpr milliseconds kSpreadGrace{500};
/// Members asked at once for their revision.
constexpr size_t kMaxAsked = 16;
constexpr size_t kRandomKeyBytes = 32;

mesh_time TimeNow() { return {SteadyNow(), WallNowMs()}; }

}  // namespace

node_mesh::node_mesh(node_mesh_environment environment)
    : environment_(std::move(environment)),
      transport_(
          environment_.loop, environment_.config.mesh_address, {},
          [this](std::string_view bytes) { mesh_.OnBytes(bytes, TimeNow()); }),
      mesh_(Options(), Self(), transport_, Hooks()),
      sync_(environment_.tables, SyncHooks()),
      tick_timer_(environment_.loop.Every(kTickPeriod, [this] { Tick(); })),
      metrics_timer_(
          environment_.loop.Every(kMetricsPeriod, [this] { CountMetrics(); })),
      hosts_timer_(
          environment_.loop.Every(kHostsPeriod, [this] { PollHosts(); })) {
  environment_.tables.AddListener(
      [this](const table_set_ptr& /*tables*/) { mesh_.RequestEarlyRound(); });
  OnDirect(
      kTableFetchTopic,
      [this](const std::string& from, const std::string& payload,
             const mesh_time& /*at*/) { sync_.OnFetchRequest(from, payload); });
  OnDirect(kTableDocumentsTopic,
           [this](const std::string& /*from*/, const std::string& payload,
                  const mesh_time& /*at*/) { sync_.OnDocuments(payload); });
}

mesh_options node_mesh::Options() const {
  mesh_options options;
  options.name = environment_.config.name;
  options.incarnation = WallNowMs();
  // Without a shared key the node stays alone.
  options.key = environment_.config.mesh_key.empty()
                    ? RandomHex(kRandomKeyBytes)
                    : environment_.config.mesh_key;
  options.seeds = environment_.config.peers;
  options.seed = environment_.seed;
  return options;
}

member_details node_mesh::Self() const {
  member_details self;
  self.mesh = transport_.address();
  self.callers = environment_.callers;
  self.operators = environment_.operators;
  self.availability_zone = environment_.config.availability_zone;
  self.region = environment_.config.region;
  return self;
}

mesh_callbacks node_mesh::Hooks() {
  return {[this] { return environment_.tables.current()->revision; },
          [this](const revision_report& report, time_point now) {
            sync_.OnRevisionReport(report, now);
          },
          [this](const mesh_record& record, time_point now) {
            const auto [first, last] = on_record_.equal_range(record.topic);
            for (auto call = first; call != last; ++call) {
              call->second(record, now);
            }
          },
          [this](const std::string& from, const std::string& topic,
                 const std::string& payload, const mesh_time& at) {
            const auto [first, last] = on_direct_.equal_range(topic);
            for (auto call = first; call != last; ++call) {
              call->second(from, payload, at);
            }
          }};
}

table_sync_callbacks node_mesh::SyncHooks() {
  return {
      [this](const std::string& to, const std::string& topic,
             const std::string& payload) {
        return mesh_.SendDirect(to, topic, payload, TimeNow());
      },
      environment_.poll_store,
      [this](const std::string& message) {
        environment_.log.Log({log_level::kError, message, "", "", "", "", {}});
      }};
}

void node_mesh::OnDirect(const std::string& topic, direct_fn call) {
  on_direct_.emplace(topic, std::move(call));
}

void node_mesh::OnRecord(const std::string& topic, record_fn call) {
  on_record_.emplace(topic, std::move(call));
}

void node_mesh::OnTick(std::function<void(const mesh_time&)> call) {
  on_tick_.push_back(std::move(call));
}

void node_mesh::Tick() {
  const mesh_time at = TimeNow();
  mesh_.Tick(at);
  sync_.Tick(at.now);
  for (const auto& call : on_tick_) {
    call(at);
  }
  CheckWaits(at);
}

void node_mesh::AwaitSpread(int64_t revision, spread_fn done) {
  mesh_.RequestEarlyRound();
  waits_.push_back({{revision, SteadyNow()}, std::move(done), {}});
}

void node_mesh::CheckWaits(const mesh_time& at) {
  const milliseconds bound = environment_.config.tables.staleness_bound;
  for (auto next = waits_.begin(); next != waits_.end();) {
    edit_propagation spread =
        AssessPropagation(mesh_.members(), next->edit, bound, at.now);
    const std::vector<std::string> awaited =
        MembersToAwait(spread, mesh_.members());
    const bool late = at.now - next->edit.accepted_at > bound + kSpreadGrace;
    if (!awaited.empty() && !late) {
      AskAwaited(*next, awaited, at);
      ++next;
      continue;
    }
    spread.active_on.push_back(mesh_.name());
    std::sort(spread.active_on.begin(), spread.active_on.end());
    const spread_fn done = std::move(next->done);
    next = waits_.erase(next);
    done(std::move(spread));
  }
}

void node_mesh::AskAwaited(wait& waiting,
                           const std::vector<std::string>& awaited,
                           const mesh_time& at) {
  if (at.now - waiting.asked_at < kAskPeriod) {
    return;
  }
  waiting.asked_at = at.now;
  size_t asked = 0;
  for (const std::string& name : awaited) {
    if (asked == kMaxAsked) {
      return;
    }
    const member* known = mesh_.members().Find(name);
    if (known->state == member_state::kAlive &&
        mesh_.RequestRevision(name, at)) {
      ++asked;
    }
  }
}

void node_mesh::CountMetrics() {
  const mesh_counts& counts = mesh_.counts();
  const auto count = [this](const char* name, const char* help,
                            uint64_t increase) {
    environment_.metrics.Counter({name, help, {}}).Increment(increase);
  };
  count("skylarkcroft_mesh_sent_bytes_total", "Bytes sent to other nodes.",
        counts.bytes_sent - counted_.bytes_sent);
  count("skylarkcroft_mesh_received_bytes_total",
        "Bytes received from other nodes.",
        counts.bytes_received - counted_.bytes_received);
  count("skylarkcroft_mesh_refused_sends_total",
        "Messages dropped because too many waited for their node.",
        counts.sends_refused - counted_.sends_refused);
  count("skylarkcroft_mesh_unanswered_total",
        "Exchanges without a reply; each link was dialled again.",
        counts.unanswered - counted_.unanswered);
  for (size_t index = 0; index < kMeshDropCount; ++index) {
    const auto reason = static_cast<mesh_drop>(index);
    environment_.metrics
        .Counter({"skylarkcroft_mesh_dropped_total",
                  "Messages of other nodes that were not used, by reason.",
                  {{"reason", std::string(ToString(reason))}}})
        .Increment(counts.dropped[index] - counted_.dropped[index]);
  }
  counted_ = counts;
}

void node_mesh::PollHosts() {
  const std::weak_ptr<bool> alive = alive_;
  environment_.hosts.Fetch([this, alive](const host_list_result& result) {
    if (!alive.expired() && result.available) {
      OnHosts(result);
    }
  });
}

void node_mesh::OnHosts(const host_list_result& result) {
  std::set<endpoint> nodes;
  for (const listed_host& host : result.hosts) {
    if (host.kind == host_kind::kNode) {
      nodes.insert(host.address);
    }
  }
  std::vector<endpoint> seeds = environment_.config.peers;
  seeds.insert(seeds.end(), nodes.begin(), nodes.end());
  mesh_.SetSeeds(std::move(seeds));
  // Again at each poll, since a member may be removed after its host ended.
  for (const endpoint& address : listed_) {
    if (!nodes.contains(address)) {
      mesh_.OnHostTerminated(address);
    }
  }
  listed_.merge(nodes);
}

nlohmann::json node_mesh::Describe(time_point now) const {
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [name, known] : mesh_.members().all()) {
    nlohmann::json entry = {
        {"name", name},
        {"state", ToString(known.state)},
        {"leaving", known.details.is_draining},
        {"availability_zone", known.details.availability_zone},
        {"region", known.details.region},
        {"mesh", ToString(known.details.mesh)},
        {"callers", ToString(known.details.callers)},
        {"operators", ToString(known.details.operators)},
        {"revision", known.revision}};
    if (known.last_heard_at) {
      entry["heard_ms_ago"] = ElapsedMs(*known.last_heard_at, now);
    }
    members.push_back(std::move(entry));
  }
  return members;
}

}  // namespace skylarkcroft

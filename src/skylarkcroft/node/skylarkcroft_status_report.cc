#include "skylarkcroft/node/skylarkcroft_status_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "skylarkcroft/admission/skylarkcroft_admission.h"
#include "skylarkcroft/node/skylarkcroft_pool_windows.h"
#include "skylarkcroft/node/skylarkcroft_request_registry.h"
#include "skylarkcroft/node/skylarkcroft_settings.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"
#include "skylarkcroft/tables/skylarkcroft_active_tables.h"

namespace skylarkcroft {
namespace {

const char* StateOf(const upstream_state& state, time_point now) {
  if (state.is_draining) {
    return "leaving";
  }
  if (IsPaused(state, now)) {
    return "paused";
  }
  return AcceptsRequests(state, now) ? "open" : "ejected";
}

nlohmann::json DescribeUpstream(const upstream_state& state, time_point now) {
  nlohmann::json document = {
      {"name", state.spec.name},
      {"address", ToString(state.spec.address)},
      {"availability_zone", state.spec.availability_zone},
      {"state", StateOf(state, now)},
      {"in_flight", state.in_flight},
      {"slots", state.spec.slots},
      {"suspect", state.suspect},
      {"failed_answers", state.failed_responses},
      {"failed_connections", state.failed_connections},
      {"ejections", state.ejections}};
  if (state.needs_probe) {
    document["ejected_for_ms"] =
        std::max<int64_t>(0, ElapsedMs(now, *state.ejected_until));
  }
  if (state.report) {
    document["running"] = state.report->running;
    document["waiting"] = state.report->waiting;
    document["report_age_ms"] = ElapsedMs(state.reported_at, now);
  }
  return document;
}

nlohmann::json DescribeRanks(const pool_counts& counts) {
  nlohmann::json ranks = nlohmann::json::array();
  for (const rank value : kAllRanks) {
    const rank_counts& one = counts.ranks[IndexOf(value)];
    ranks.push_back({{"name", ToString(value)},
                     {"running", one.running},
                     {"queued", one.queued},
                     {"preempted", one.preempted}});
  }
  return ranks;
}

}  // namespace

nlohmann::json DescribeNode(const status_source& source, time_point now) {
  nlohmann::json pools = nlohmann::json::array();
  for (const std::string& name : source.directory.PoolNames()) {
    nlohmann::json upstreams = nlohmann::json::array();
    for (const upstream_state& state : source.directory.UpstreamsInPool(name)) {
      upstreams.push_back(DescribeUpstream(state, now));
    }
    pools.push_back({{"name", name},
                     {"running", source.admit.Running(name)},
                     {"queued", source.admit.Queued(name)},
                     {"capacity", source.windows.CapacityOf(name, now)},
                     {"ranks", DescribeRanks(source.admit.Counts(name))},
                     {"upstreams", upstreams}});
  }
  return {{"name", source.config.name},
          {"availability_zone", source.config.availability_zone},
          {"region", source.config.region},
          {"ready", source.ready},
          {"revision", source.tables.current()->revision},
          {"store_reachable", source.store_reachable},
          {"active_requests", source.registry.active()},
          {"pools", pools}};
}

nlohmann::json DescribeRequests(const request_registry& registry,
                                time_point now) {
  nlohmann::json requests = nlohmann::json::array();
  for (const auto& [id, entry] : registry.entries()) {
    if (entry.result->ended()) {
      continue;
    }
    requests.push_back(
        {{"id", id},
         {"caller", entry.caller_name},
         {"route", entry.route_name},
         {"pool", entry.pool_name},
         {"rank", ToString(entry.work_rank)},
         {"upstream", entry.run ? entry.run->upstream_name() : ""},
         {"state", entry.run && entry.run->started() ? "running" : "queued"},
         {"tokens", entry.result->tokens().size()},
         {"age_ms", ElapsedMs(entry.arrived, now)}});
  }
  return {{"requests", requests}};
}

}  // namespace skylarkcroft

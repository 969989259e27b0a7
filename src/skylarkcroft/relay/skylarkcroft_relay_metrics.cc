#include "skylarkcroft/relay/skylarkcroft_relay_metrics.h"

namespace skylarkcroft {

relay_metrics::relay_metrics()
    : opened_connections_(
          registry_.Counter({"skylarkcroft_upstream_connections_total",
                             "Connections opened to upstreams.",
                             {}})),
      readable_datagrams_(registry_.Counter({"skylarkcroft_peer_reports_total",
                                             "Reports of peers.",
                                             {{"readable", "true"}}})),
      unreadable_datagrams_(
          registry_.Counter({"skylarkcroft_peer_reports_total",
                             "Reports of peers.",
                             {{"readable", "false"}}})),
      dropped_log_lines_(
          registry_.Counter({"skylarkcroft_log_lines_left_out_total",
                             "Log lines beyond the bound a second.",
                             {}})),
      speed_changes_(registry_.Counter(
          {"skylarkcroft_upstream_speed_changes_total",
           "Noticeable changes of the estimated speed of an engine.",
           {}})),
      clients_(registry_.Gauge(
          {"skylarkcroft_clients", "Connections of clients.", {}})),
      held_bytes_(registry_.Gauge(
          {"skylarkcroft_held_bytes",
           "Memory held for clients: heads, bodies, answers and buffers.",
           {}})),
      quarantines_(
          registry_.Gauge({"skylarkcroft_quarantines",
                           "Sets of prompt parts whose requests are rejected.",
                           {}})),
      quarantined_requests_(
          registry_.Gauge({"skylarkcroft_quarantined_requests",
                           "Requests that are or were quarantined and are not "
                           "yet forgotten.",
                           {}})) {}

void relay_metrics::RecordRequest(const request_record& record) {
  registry_
      .Counter({"skylarkcroft_requests_total",
                "Requests ended, by route, status and reason.",
                {{"route", record.route},
                 {"status", std::to_string(record.status)},
                 {"reason", record.reason}}})
      .Increment();
  if (!record.allotment_source.empty()) {
    registry_
        .Counter({"skylarkcroft_allotment_decisions_total",
                  "Decisions on a workspace's tokens, by what they were based "
                  "on and by whether the request was rejected.",
                  {{"source", record.allotment_source},
                   {"rejected",
                    record.reason == "over_allotment" ? "true" : "false"}}})
        .Increment();
  }
  registry_
      .LatencyHistogram({"skylarkcroft_first_byte_seconds",
                         "Time from a request to the first byte of its answer.",
                         {{"route", record.route}}})
      .Record(record.first_byte);
  registry_
      .LatencyHistogram({"skylarkcroft_request_seconds",
                         "Time from a request to the end of its answer.",
                         {{"route", record.route}}})
      .Record(record.total);
}

void relay_metrics::SetHeldBytes(size_t bytes) {
  held_bytes_.Set(static_cast<double>(bytes));
}

void relay_metrics::RecordMemoryRelief(const memory_relief& relief) {
  registry_
      .Counter({"skylarkcroft_memory_given_up_total",
                "Connections given up because memory is short, by pressure.",
                {{"pressure", std::string(ToString(relief.pressure))}}})
      .Increment(relief.given_up);
}

void relay_metrics::RecordRolloutPlan(const std::string& stage) {
  registry_
      .Counter({"skylarkcroft_rollout_plans_total",
                "Changes of the rollout plan that the node follows, by stage.",
                {{"stage", stage}}})
      .Increment();
}

void relay_metrics::RecordFailedAttempt(const attempt_record& record) {
  registry_
      .Counter({"skylarkcroft_failed_attempts_total",
                "Attempts at upstreams that failed, by failure and by whether "
                "output had arrived.",
                {{"failure", record.failure},
                 {"output", record.output_age.has_value() ? "true" : "false"}}})
      .Increment();
}

void relay_metrics::RecordConnectionOpened() {
  opened_connections_.Increment();
}

void relay_metrics::RecordClientEnd(const client_end& end) {
  registry_
      .Counter({"skylarkcroft_client_ends_total",
                "Connections of clients ended by this node, by reason, by "
                "whether that dropped a request or a part of an answer, by "
                "whether they had had a request, and by how long they were "
                "idle.",
                {{"reason", std::string(ToString(end.reason))},
                 {"drops", end.DropsBytes() ? "true" : "false"},
                 {"had_request", end.had_request ? "true" : "false"},
                 {"idle", std::string(ToString(end.IdleTime()))}}})
      .Increment();
}

void relay_metrics::RecordStoreCall(const std::string& table,
                                    std::string_view reason) {
  registry_
      .Counter({"skylarkcroft_store_reads_total",
                "Calls to the store that keep a replica current, by table and "
                "by reason.",
                {{"table", table}, {"reason", std::string(reason)}}})
      .Increment();
}

void relay_metrics::RecordStoreContact(const std::string& table,
                                       bool reachable) {
  registry_
      .Gauge({"skylarkcroft_store_reachable",
              "1 while the store answers.",
              {{"table", table}}})
      .Set(reachable ? 1 : 0);
}

void relay_metrics::RecordAnnouncement(std::string_view what) {
  registry_
      .Counter({"skylarkcroft_upstream_announcements_total",
                "Upstreams that told in a response that they leave or want a "
                "pause.",
                {{"what", std::string(what)}}})
      .Increment();
}

void relay_metrics::RecordEarlyQuotaReport() {
  registry_
      .Counter({"skylarkcroft_early_quota_reports_total",
                "Reports of quotas sent before the end of the report period.",
                {}})
      .Increment();
}

void relay_metrics::RecordStoreRestored() {
  registry_
      .Counter({"skylarkcroft_store_restored_total",
                "Returns of the store from an older copy that this node "
                "noticed.",
                {}})
      .Increment();
}

void relay_metrics::RecordDatagram(bool readable) {
  (readable ? readable_datagrams_ : unreadable_datagrams_).Increment();
}

void relay_metrics::RecordSpeedChange() { speed_changes_.Increment(); }

void relay_metrics::RecordPaceChange(bool begun) {
  registry_
      .Counter({"skylarkcroft_upstream_limits_total",
                "Limits on upstreams that have just started or returned, begun "
                "and ended.",
                {{"state", begun ? "begun" : "ended"}}})
      .Increment();
}

void relay_metrics::RecordLogLineDropped() { dropped_log_lines_.Increment(); }

void relay_metrics::SetQuarantines(size_t count) {
  quarantines_.Set(static_cast<double>(count));
}

void relay_metrics::RecordQuarantineChange(const std::string& what) {
  registry_
      .Counter({"skylarkcroft_quarantine_changes_total",
                "Changes of what is quarantined, by kind.",
                {{"change", what}}})
      .Increment();
}

void relay_metrics::SetQuarantinedRequests(size_t count) {
  quarantined_requests_.Set(static_cast<double>(count));
}

void relay_metrics::RecordRequestQuarantineChange(const std::string& what) {
  registry_
      .Counter({"skylarkcroft_request_quarantine_changes_total",
                "Changes of which requests are quarantined, by kind.",
                {{"change", what}}})
      .Increment();
}

void relay_metrics::RecordArchiveCall(std::string_view outcome) {
  registry_
      .Counter({"skylarkcroft_quarantine_store_calls_total",
                "Calls to the store that read or write quarantines.",
                {{"outcome", std::string(outcome)}}})
      .Increment();
}

void relay_metrics::SetClients(size_t clients) {
  clients_.Set(static_cast<double>(clients));
}

}  // namespace skylarkcroft

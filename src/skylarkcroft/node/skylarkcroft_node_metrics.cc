#include "skylarkcroft/node/skylarkcroft_node_metrics.h"

#include <string>

namespace skylarkcroft {

node_metrics::node_metrics(metrics_registry& registry) : registry_(registry) {
  for (const rank value : kAllRanks) {
    const metric_label label{"rank", std::string(ToString(value))};
    const size_t index = IndexOf(value);
    requests_[index] = &registry.Counter({"skylarkcroft_requests_total",
                                          "Requests accepted from callers.",
                                          {label}});
    first_token_[index] = &registry.LatencyHistogram(
        {"skylarkcroft_first_token_seconds",
         "Time from a request's arrival to its first token.",
         {label}});
    whole_answer_[index] = &registry.LatencyHistogram(
        {"skylarkcroft_answer_seconds",
         "Time from a request's arrival to the end of its answer.",
         {label}});
  }
  for (const refusal_reason reason : kRefusalReasons) {
    refusals_[static_cast<size_t>(reason)] =
        &registry.Counter({"skylarkcroft_refusals_total",
                           "Requests not answered as asked, by reason.",
                           {{"reason", std::string(ToString(reason))}}});
  }
}

void node_metrics::CountRequest(rank work_rank) {
  requests_[IndexOf(work_rank)]->Increment();
}

void node_metrics::CountRefusal(refusal_reason reason) {
  refusals_[static_cast<size_t>(reason)]->Increment();
}

void node_metrics::CountRetry(std::string_view reason) {
  registry_
      .Counter({"skylarkcroft_retries_total",
                "Tries repeated, by the outcome of the try before.",
                {{"reason", std::string(reason)}}})
      .Increment();
}

void node_metrics::SetPool(const std::string& pool, int64_t capacity,
                           const pool_counts& counts) {
  registry_
      .Gauge({"skylarkcroft_pool_capacity",
              "Requests that this node may have running in a pool.",
              {{"pool", pool}}})
      .Set(static_cast<double>(capacity));
  for (const rank value : kAllRanks) {
    const rank_counts& one = counts.ranks[IndexOf(value)];
    const std::vector<metric_label> labels = {
        {"pool", pool}, {"rank", std::string(ToString(value))}};
    registry_
        .Gauge({"skylarkcroft_running", "Requests started, not ended.", labels})
        .Set(static_cast<double>(one.running));
    registry_
        .Gauge({"skylarkcroft_queued", "Requests that wait to start.", labels})
        .Set(static_cast<double>(one.queued));
    counter& preempted =
        registry_.Counter({"skylarkcroft_preemptions_total",
                           "Running requests stopped to go on later.", labels});
    preempted.Increment(static_cast<uint64_t>(one.preempted) -
                        preempted.value());
  }
}

void node_metrics::CountRunEvent(std::string_view event) {
  registry_
      .Counter({"skylarkcroft_run_events_total",
                "Resumed streams, hedges and spent retry budgets, by kind.",
                {{"event", std::string(event)}}})
      .Increment();
}

void node_metrics::CountUpstreamEvent(std::string_view event) {
  registry_
      .Counter({"skylarkcroft_upstream_events_total",
                "Ejections and probes of upstreams, by kind.",
                {{"event", std::string(event)}}})
      .Increment();
}

void node_metrics::RecordFirstToken(rank work_rank, duration elapsed) {
  first_token_[IndexOf(work_rank)]->Record(elapsed);
}

void node_metrics::RecordAnswer(rank work_rank, duration elapsed) {
  whole_answer_[IndexOf(work_rank)]->Record(elapsed);
}

}  // namespace skylarkcroft

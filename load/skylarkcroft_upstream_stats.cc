#include "load/skylarkcroft_upstream_stats.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft::load {
namespace {

using nlohmann::json;

int64_t CountOr(const json& document, const char* key) {
  const auto found = document.find(key);
  return found != document.end() && found->is_number_integer()
             ? found->get<int64_t>()
             : 0;
}

int64_t RepeatedRuns(const json& document) {
  const auto runs = document.find("runs");
  if (runs == document.end() || !runs->is_object()) {
    return 0;
  }
  int64_t repeated = 0;
  for (const auto& item : runs->items()) {
    if (item.value().is_number_integer()) {
      repeated += std::max<int64_t>(0, item.value().get<int64_t>() - 1);
    }
  }
  return repeated;
}

constexpr std::array<int64_t upstream_stats::*, 8> kCounters = {
    &upstream_stats::requests,      &upstream_stats::prefill_tokens,
    &upstream_stats::cached_tokens, &upstream_stats::generated_tokens,
    &upstream_stats::resumed,       &upstream_stats::cancelled,
    &upstream_stats::repeated_runs, &upstream_stats::received_while_leaving,
};

}  // namespace

upstream_stats ParseUpstreamStats(std::string_view body) {
  const json document = ParseJson(body);
  if (!document.is_object()) {
    throw config_error("$", "is no stats document",
                       "give the addresses of stand-ins as --upstream");
  }
  return {CountOr(document, "requests"),
          CountOr(document, "prefill_tokens"),
          CountOr(document, "cached_tokens"),
          CountOr(document, "generated_tokens"),
          CountOr(document, "resumed"),
          CountOr(document, "cancelled"),
          RepeatedRuns(document),
          CountOr(document, "received_while_leaving")};
}

upstream_summary Summarize(const std::vector<upstream_stats>& before,
                           const std::vector<upstream_stats>& after) {
  upstream_summary summary;
  int64_t busiest_tokens = 0;
  int64_t busiest_requests = 0;
  for (size_t index = 0; index < after.size(); ++index) {
    upstream_stats grown;
    for (const auto counter : kCounters) {
      grown.*counter = after[index].*counter - before.at(index).*counter;
      summary.sums.*counter += grown.*counter;
    }
    ++summary.upstreams;
    busiest_tokens = std::max(busiest_tokens, grown.generated_tokens);
    busiest_requests = std::max(busiest_requests, grown.requests);
  }
  const bool by_tokens = summary.sums.generated_tokens > 0;
  const int64_t all =
      by_tokens ? summary.sums.generated_tokens : summary.sums.requests;
  const int64_t busiest = by_tokens ? busiest_tokens : busiest_requests;
  if (all > 0) {
    summary.busiest_over_mean = static_cast<double>(busiest) *
                                static_cast<double>(summary.upstreams) /
                                static_cast<double>(all);
  }
  return summary;
}

}  // namespace skylarkcroft::load

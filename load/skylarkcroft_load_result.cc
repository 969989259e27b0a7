#include "load/skylarkcroft_load_result.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "load/skylarkcroft_text_table.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft::load {
namespace {

using nlohmann::json;

constexpr int_range kCount{0, std::numeric_limits<int64_t>::max()};
constexpr number_range kAnyNumber{0.0, std::numeric_limits<double>::max()};

json ToJson(const latency_summary& summary) {
  return {{"count", summary.count},   {"mean_ms", summary.mean_ms},
          {"p50_ms", summary.p50_ms}, {"p95_ms", summary.p95_ms},
          {"p99_ms", summary.p99_ms}, {"max_ms", summary.max_ms}};
}

json ToJson(const std::vector<reason_count>& counts) {
  json object = json::object();
  for (const reason_count& each : counts) {
    object[each.reason] = each.count;
  }
  return object;
}

json ToJson(const answer_faults& faults) {
  return {{"repeated_tokens", faults.repeated_tokens},
          {"missing_tokens", faults.missing_tokens},
          {"foreign_tokens", faults.foreign_tokens},
          {"malformed_events", faults.malformed_events}};
}

json ToJson(const std::vector<caller_result>& callers) {
  json array = json::array();
  for (const caller_result& each : callers) {
    array.push_back({{"caller", each.caller},
                     {"sent", each.sent},
                     {"answered", each.answered},
                     {"tokens", each.tokens}});
  }
  return array;
}

json ToJson(const group_result& group) {
  return {{"name", group.name},
          {"rank", group.rank},
          {"not_sent", group.not_sent},
          {"sent", group.sent},
          {"answered", group.answered},
          {"whole", group.whole},
          {"wrong", group.wrong},
          {"refused", group.refused},
          {"lost", group.lost},
          {"open", group.open},
          {"refused_by_reason", ToJson(group.refused_by_reason)},
          {"refused_by_run_state", ToJson(group.refused_by_run_state)},
          {"lost_by_cause", ToJson(group.lost_by_cause)},
          {"faults", ToJson(group.faults)},
          {"first_token", ToJson(group.first_token)},
          {"between_tokens", ToJson(group.between_tokens)},
          {"total", ToJson(group.total)},
          {"targets_met", group.targets_met},
          {"target_share", group.TargetShare()},
          {"tokens", group.tokens},
          {"resumes", group.resumes},
          {"fairness", group.Fairness()},
          {"callers", ToJson(group.callers)}};
}

json ToJson(const upstream_summary& summary) {
  return {{"upstreams", summary.upstreams},
          {"requests", summary.sums.requests},
          {"prefill_tokens", summary.sums.prefill_tokens},
          {"cached_tokens", summary.sums.cached_tokens},
          {"generated_tokens", summary.sums.generated_tokens},
          {"resumed", summary.sums.resumed},
          {"cancelled", summary.sums.cancelled},
          {"repeated_runs", summary.sums.repeated_runs},
          {"received_while_leaving", summary.sums.received_while_leaving},
          {"busiest_over_mean", summary.busiest_over_mean}};
}

upstream_summary ParseUpstreams(const json_reader& parent) {
  const json_reader reader(
      parent.Member("upstreams"), parent.PathOf("upstreams"),
      {"upstreams", "requests", "prefill_tokens", "cached_tokens",
       "generated_tokens", "resumed", "cancelled", "repeated_runs",
       "received_while_leaving", "busiest_over_mean"});
  return {
      reader.Int("upstreams", kCount),
      {reader.Int("requests", kCount), reader.Int("prefill_tokens", kCount),
       reader.Int("cached_tokens", kCount),
       reader.Int("generated_tokens", kCount), reader.Int("resumed", kCount),
       reader.Int("cancelled", kCount), reader.Int("repeated_runs", kCount),
       reader.Int("received_while_leaving", kCount)},
      reader.NumberOr("busiest_over_mean", kAnyNumber, 0)};
}

latency_summary ParseSummary(const json_reader& parent, std::string_view key) {
  const json_reader reader(
      parent.Member(key), parent.PathOf(key),
      {"count", "mean_ms", "p50_ms", "p95_ms", "p99_ms", "max_ms"});
  return {reader.Int("count", kCount),
          reader.NumberOr("mean_ms", kAnyNumber, 0),
          reader.NumberOr("p50_ms", kAnyNumber, 0),
          reader.NumberOr("p95_ms", kAnyNumber, 0),
          reader.NumberOr("p99_ms", kAnyNumber, 0),
          reader.NumberOr("max_ms", kAnyNumber, 0)};
}

std::vector<reason_count> ParseCounts(const json_reader& parent,
                                      std::string_view key) {
  std::vector<reason_count> counts;
  for (const auto& item : parent.Member(key).items()) {
    counts.push_back({item.key(), item.value().get<int64_t>()});
  }
  return counts;
}

answer_faults ParseFaults(const json_reader& parent) {
  const json_reader reader(parent.Member("faults"), parent.PathOf("faults"),
                           {"repeated_tokens", "missing_tokens",
                            "foreign_tokens", "malformed_events"});
  return {reader.Int("repeated_tokens", kCount),
          reader.Int("missing_tokens", kCount),
          reader.Int("foreign_tokens", kCount),
          reader.Int("malformed_events", kCount)};
}

caller_result ParseCaller(const json& value, const std::string& path) {
  const json_reader reader(value, path,
                           {"caller", "sent", "answered", "tokens"});
  return {static_cast<int>(reader.Int("caller", kCount)),
          reader.Int("sent", kCount), reader.Int("answered", kCount),
          reader.Int("tokens", kCount)};
}

group_result ParseGroup(const json& value, const std::string& path) {
  const json_reader reader(value, path,
                           {"name",
                            "rank",
                            "not_sent",
                            "sent",
                            "answered",
                            "whole",
                            "wrong",
                            "refused",
                            "lost",
                            "open",
                            "refused_by_reason",
                            "lost_by_cause",
                            "refused_by_run_state",
                            "faults",
                            "first_token",
                            "total",
                            "between_tokens",
                            "targets_met",
                            "target_share",
                            "tokens",
                            "resumes",
                            "fairness",
                            "callers"});
  group_result group;
  group.name = reader.Name("name");
  group.rank = reader.StringOr("rank", "");
  group.not_sent = reader.Int("not_sent", kCount);
  group.sent = reader.Int("sent", kCount);
  group.answered = reader.Int("answered", kCount);
  group.whole = reader.Int("whole", kCount);
  group.wrong = reader.Int("wrong", kCount);
  group.refused = reader.Int("refused", kCount);
  group.lost = reader.Int("lost", kCount);
  group.open = reader.Int("open", kCount);
  group.refused_by_reason = ParseCounts(reader, "refused_by_reason");
  group.refused_by_run_state = ParseCounts(reader, "refused_by_run_state");
  group.lost_by_cause = ParseCounts(reader, "lost_by_cause");
  group.faults = ParseFaults(reader);
  group.first_token = ParseSummary(reader, "first_token");
  group.between_tokens = ParseSummary(reader, "between_tokens");
  group.total = ParseSummary(reader, "total");
  group.targets_met = reader.Int("targets_met", kCount);
  group.tokens = reader.Int("tokens", kCount);
  group.resumes = reader.Int("resumes", kCount);
  reader.Each("callers", [&](const json& each, const std::string& each_path) {
    group.callers.push_back(ParseCaller(each, each_path));
  });
  return group;
}

std::string Reasons(const std::vector<reason_count>& counts) {
  std::string text;
  for (const reason_count& each : counts) {
    text += (text.empty() ? "" : ", ") + each.reason + " " +
            std::to_string(each.count);
  }
  return text;
}

void AddLine(std::string& text, const std::string& group,
             const std::string& label, const std::string& value) {
  if (!value.empty()) {
    text += "  " + group + " " + label + ": " + value + "\n";
  }
}

std::string Cell(const latency_summary& summary, double ms) {
  return summary.count == 0 ? "-" : Decimal(ms);
}

std::string UpstreamText(const upstream_summary& summary) {
  if (summary.upstreams == 0) {
    return "";
  }
  const upstream_stats& sums = summary.sums;
  return "  " + std::to_string(summary.upstreams) + " upstreams: " +
         Reasons({{"requests", sums.requests},
                  {"prompt tokens computed", sums.prefill_tokens},
                  {"cached", sums.cached_tokens},
                  {"generated", sums.generated_tokens},
                  {"resumed", sums.resumed},
                  {"cancelled", sums.cancelled},
                  {"repeated runs", sums.repeated_runs}}) +
         ", busiest over mean " + Decimal(summary.busiest_over_mean, 2) + "\n";
}

std::string FaultText(const answer_faults& faults) {
  if (!faults.Any()) {
    return "";
  }
  return Reasons({{"repeated", faults.repeated_tokens},
                  {"missing", faults.missing_tokens},
                  {"foreign", faults.foreign_tokens},
                  {"malformed", faults.malformed_events}});
}

}  // namespace

double group_result::TargetShare() const {
  return sent == 0
             ? 0
             : static_cast<double>(targets_met) / static_cast<double>(sent);
}

double group_result::Fairness() const {
  double sum = 0;
  double sum_of_squares = 0;
  for (const caller_result& each : callers) {
    const auto got =
        static_cast<double>(tokens > 0 ? each.tokens : each.answered);
    sum += got;
    sum_of_squares += got * got;
  }
  if (sum_of_squares == 0) {
    return 0;
  }
  return sum * sum / (static_cast<double>(callers.size()) * sum_of_squares);
}

json ToJson(const load_result& result) {
  json groups = json::array();
  for (const group_result& group : result.groups) {
    groups.push_back(ToJson(group));
  }
  return {{"name", result.name},
          {"label", result.label},
          {"seed", result.seed},
          {"duration_s", result.duration_s},
          {"send_delay", ToJson(result.send_delay)},
          {"groups", groups},
          {"upstreams", ToJson(result.upstreams)}};
}

load_result ParseResult(const json& document) {
  const json_reader reader(document, "$",
                           {"name", "label", "seed", "duration_s", "send_delay",
                            "groups", "upstreams"});
  load_result result;
  result.name = reader.Name("name");
  result.label = reader.StringOr("label", "");
  result.seed = static_cast<uint64_t>(reader.Int("seed", kCount));
  result.duration_s = reader.NumberOr("duration_s", kAnyNumber, 0);
  result.send_delay = ParseSummary(reader, "send_delay");
  reader.Each("groups", [&](const json& value, const std::string& path) {
    result.groups.push_back(ParseGroup(value, path));
  });
  result.upstreams = ParseUpstreams(reader);
  return result;
}

std::string ToText(const load_result& result) {
  text_table table({"group", "rank", "sent", "whole", "wrong", "refused",
                    "lost", "open", "first p50", "p95 ms", "between p95",
                    "total p50", "p95 ms", "p99 ms", "targets", "tokens",
                    "fairness"});
  std::string notes;
  for (const group_result& group : result.groups) {
    table.AddRow({group.name, group.rank, std::to_string(group.sent),
                  std::to_string(group.whole), std::to_string(group.wrong),
                  std::to_string(group.refused), std::to_string(group.lost),
                  std::to_string(group.open),
                  Cell(group.first_token, group.first_token.p50_ms),
                  Cell(group.first_token, group.first_token.p95_ms),
                  Cell(group.between_tokens, group.between_tokens.p95_ms),
                  Cell(group.total, group.total.p50_ms),
                  Cell(group.total, group.total.p95_ms),
                  Cell(group.total, group.total.p99_ms),
                  Percent(group.TargetShare()), std::to_string(group.tokens),
                  Decimal(group.Fairness(), 3)});
    AddLine(notes, group.name, "refused", Reasons(group.refused_by_reason));
    AddLine(notes, group.name, "refused as",
            Reasons(group.refused_by_run_state));
    AddLine(notes, group.name, "lost", Reasons(group.lost_by_cause));
    AddLine(notes, group.name, "token faults", FaultText(group.faults));
    if (group.not_sent > 0) {
      AddLine(notes, group.name, "kept back by the load tool's own bounds",
              std::to_string(group.not_sent));
    }
  }
  return result.name + (result.label.empty() ? "" : " / " + result.label) +
         ", seed " + std::to_string(result.seed) + ", " +
         Decimal(result.duration_s) + " s, sent late by p99 " +
         Decimal(result.send_delay.p99_ms) + " ms\n" + table.Render() + notes +
         UpstreamText(result.upstreams);
}

}  // namespace skylarkcroft::load

#include "tests/history/skylarkcroft_history_json.h"

#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft::history {

NLOHMANN_JSON_SERIALIZE_ENUM(request_outcome,
                             {{request_outcome::kNone, "none"},
                              {request_outcome::kAnswered, "answered"},
                              {request_outcome::kNotRun, "not_run"},
                              {request_outcome::kRan, "ran"},
                              {request_outcome::kUnknown, "unknown"},
                              {request_outcome::kUpstreamError,
                               "upstream_error"},
                              {request_outcome::kNotSent, "not_sent"}})
NLOHMANN_JSON_SERIALIZE_ENUM(edit_verdict,
                             {{edit_verdict::kUnknown, "unknown"},
                              {edit_verdict::kAccepted, "accepted"},
                              {edit_verdict::kRefused, "refused"}})
NLOHMANN_JSON_SERIALIZE_ENUM(node_phase, {{node_phase::kStarting, "starting"},
                                          {node_phase::kStopping, "stopping"},
                                          {node_phase::kEnded, "ended"},
                                          {node_phase::kKilling, "killing"},
                                          {node_phase::kKilled, "killed"},
                                          {node_phase::kPausing, "pausing"},
                                          {node_phase::kResumed, "resumed"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(request_event, process, node, key, call_ms,
                                   return_ms, outcome, reason, expected,
                                   received)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(run_count, upstream, key, runs, at_most_once)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(edit_event, process, node, edit_id, call_ms,
                                   return_ms, verdict, revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(revision_reading, node, call_ms, return_ms,
                                   revision, serving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(node_event, node, phase, at_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(leave_event, upstream, at_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(leaving_sample, upstream, call_ms, return_ms,
                                   received)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(order_event, upstream, issuer, fence, at_ms)

namespace {

constexpr const char* kEvent = "event";
constexpr const char* kRemedy = "see docs/history-checking.md for the events";

template <typename event_type>
void WriteAll(const std::vector<event_type>& events, const char* name,
              std::ostream& out) {
  for (const event_type& event : events) {
    nlohmann::json line = event;
    line[kEvent] = name;
    out << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
        << '\n';
  }
}

/// Calls `visit(events, name)` for the events of each type.
template <typename history_type, typename visit_fn>
void VisitEvents(history_type& history, const visit_fn& visit) {
  visit(history.requests, "request");
  visit(history.runs, "runs");
  visit(history.edits, "edit");
  visit(history.readings, "reading");
  visit(history.nodes, "node");
  visit(history.leaves, "leave");
  visit(history.leaving, "leaving");
  visit(history.orders, "order");
}

bool TakeLine(const nlohmann::json& line, run_history& history) {
  bool taken = false;
  VisitEvents(history, [&](auto& events, const char* name) {
    if (line.at(kEvent) == name) {
      events.push_back(line.get<std::decay_t<decltype(events.front())>>());
      taken = true;
    }
  });
  return taken;
}

}  // namespace

void WriteJsonLines(const run_history& history, std::ostream& out) {
  VisitEvents(history, [&](const auto& events, const char* name) {
    WriteAll(events, name, out);
  });
}

void ReadJsonLines(std::istream& in, run_history& history) {
  std::string text;
  size_t number = 0;
  while (std::getline(in, text)) {
    ++number;
    const std::string place = "line " + std::to_string(number);
    try {
      if (!TakeLine(nlohmann::json::parse(text), history)) {
        throw config_error(place, "no known event", kRemedy);
      }
    } catch (const nlohmann::json::exception& cause) {
      throw config_error(place, cause.what(), kRemedy);
    }
  }
}

}  // namespace skylarkcroft::history

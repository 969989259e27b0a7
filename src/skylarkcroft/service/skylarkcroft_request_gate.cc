#include "skylarkcroft/service/skylarkcroft_request_gate.h"

namespace skylarkcroft {

std::string_view ToString(gate_verdict verdict) {
  switch (verdict) {
    case gate_verdict::kPass:
      return "pass";
    case gate_verdict::kNoRoute:
      return "no_route";
    case gate_verdict::kUnknownKey:
      return "unknown_key";
    case gate_verdict::kTablesUnknown:
      return "tables_unknown";
    case gate_verdict::kTablesStale:
      return "tables_stale";
  }
  return "unknown";
}

gate_decision DecideGate(const gate_request& request,
                         const tables_snapshot& view,
                         const gate_parameters& terms, time_point now) {
  gate_decision decision;
  if (view.tables == nullptr || !view.current_as_of.has_value()) {
    return decision;
  }
  decision.tables_age =
      std::chrono::duration_cast<milliseconds>(now - *view.current_as_of);
  const bool may_deny = decision.tables_age <= terms.max_tables_age_to_deny;
  decision.route = view.tables->FindRoute(request.host, request.path);
  if (decision.route == nullptr) {
    decision.verdict =
        may_deny ? gate_verdict::kNoRoute : gate_verdict::kTablesStale;
    return decision;
  }
  if (view.tables->map().workspaces.empty()) {
    decision.verdict = gate_verdict::kPass;
    return decision;
  }
  if (request.key.has_value()) {
    decision.workspace = view.tables->FindWorkspaceByKey(*request.key);
  }
  if (decision.workspace == nullptr && !decision.route->anonymous_allowed) {
    decision.verdict =
        may_deny ? gate_verdict::kUnknownKey : gate_verdict::kTablesStale;
    return decision;
  }
  const bool key_may_be_revoked =
      decision.workspace != nullptr &&
      decision.tables_age > terms.max_tables_age_to_accept_key;
  decision.verdict =
      key_may_be_revoked ? gate_verdict::kTablesStale : gate_verdict::kPass;
  return decision;
}

}  // namespace skylarkcroft

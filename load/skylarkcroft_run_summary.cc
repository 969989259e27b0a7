#include "load/skylarkcroft_run_summary.h"

#include <nlohmann/json.hpp>

namespace skylarkcroft::load {

run_summary SummaryOf(const std::vector<load_result>& results) {
  run_summary summary;
  for (const load_result& result : results) {
    for (const group_result& group : result.groups) {
      summary.requests += group.sent;
      summary.answered += group.whole;
      summary.wrong += group.wrong;
      summary.refused += group.refused;
      summary.lost += group.lost;
      summary.open += group.open;
    }
  }
  return summary;
}

nlohmann::ordered_json ToJson(const run_summary& summary) {
  return {{"ok", summary.Ok()},           {"requests", summary.requests},
          {"answered", summary.answered}, {"wrong", summary.wrong},
          {"refused", summary.refused},   {"lost", summary.lost},
          {"open", summary.open}};
}

}  // namespace skylarkcroft::load

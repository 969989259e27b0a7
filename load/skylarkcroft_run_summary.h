#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_RUN_SUMMARY_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_RUN_SUMMARY_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "load/skylarkcroft_load_result.h"

namespace skylarkcroft::load {

/// Counts of requests over all groups of some runs.
struct run_summary {
  int64_t requests = 0;
  /// Whole answers of the caller's own.
  int64_t answered = 0;
  int64_t wrong = 0;
  int64_t refused = 0;
  int64_t lost = 0;
  int64_t open = 0;

  /// Something was sent, and every request was answered whole or refused with
  /// a reason.
  [[nodiscard]] bool Ok() const {
    return requests > 0 && answered > 0 && wrong == 0 && lost == 0 && open == 0;
  }
  bool operator==(const run_summary&) const = default;
};

run_summary SummaryOf(const std::vector<load_result>& results);

/// Members `ok`, `requests`, `answered`, `wrong`, `refused`, `lost`, `open`.
nlohmann::ordered_json ToJson(const run_summary& summary);

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_RUN_SUMMARY_H_

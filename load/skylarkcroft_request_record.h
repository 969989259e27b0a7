#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_REQUEST_RECORD_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_REQUEST_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "load/skylarkcroft_answer_check.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::load {

/// How a request ended for its caller.
enum class request_outcome {
  kAnswered,  ///< An answer ended, right or wrong.
  kRefused,   ///< The caller was told that there is no answer.
  kLost,      ///< The caller never learned an outcome.
  kOpen,      ///< The caller was still waiting when the run ended.
};

/// One request as its caller saw it. Latencies count from the intended arrival.
struct request_record {
  int caller = 1;
  request_outcome outcome = request_outcome::kLost;
  /// Reason of a refusal, or cause of a loss.
  std::string reason;
  /// `not_run`, `ran` or `unknown` as told with a refusal.
  std::string run_state;
  duration total{0};
  std::optional<duration> first_token;
  std::vector<duration> token_gaps;
  int64_t tokens = 0;
  int64_t resumes = 0;
  answer_faults faults;

  bool operator==(const request_record&) const = default;
};

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_REQUEST_RECORD_H_

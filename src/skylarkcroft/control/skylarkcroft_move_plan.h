#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_MOVE_PLAN_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_MOVE_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/tables/skylarkcroft_rank.h"

namespace skylarkcroft {

/// A stream that runs on an engine whose host will be reclaimed.
struct running_stream {
  std::string request_id;
  rank work_rank = rank::kNormal;
  int64_t prompt_tokens = 0;
  int64_t delivered_tokens = 0;
  int64_t max_tokens = 0;
  /// Time since the request arrived, including time in queues.
  duration age{};

  bool operator==(const running_stream&) const = default;
};

enum class move_kind {
  kStay,      ///< Completes within the notice, or has no token yet.
  kTransfer,  ///< Moves with its KV cache, without recomputation.
  kResume,    ///< Continues elsewhere from its offset, with a prefill.
};

struct planned_move {
  std::string request_id;
  move_kind kind = move_kind::kStay;

  bool operator==(const planned_move&) const = default;
};

/// Constants of move planning.
struct move_parameters {
  /// Upper estimate of the time for one transfer.
  milliseconds transfer_time{250};
  size_t parallel_transfers = 8;
  /// Time before the end of the notice at which all transfers must be complete.
  milliseconds reserve{1000};

  bool operator==(const move_parameters&) const = default;
};

/// Decides for each stream of an engine that will be reclaimed at `notice_end`
/// how it is moved, in the order in which to start the moves: by rank, then by
/// the number of tokens that a transfer saves from recomputation. Streams for
/// which no transfer fits into the remaining notice are resumed with a prefill.
/// Call it repeatedly during the notice.
std::vector<planned_move> PlanMoves(std::vector<running_stream> streams,
                                    const move_parameters& parameters,
                                    time_point now, time_point notice_end);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_MOVE_PLAN_H_

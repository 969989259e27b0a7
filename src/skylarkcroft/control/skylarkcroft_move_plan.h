#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_MOVE_PLAN_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_MOVE_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/tables/skylarkcroft_rank.h"

namespace skylarkcroft {

/// A stream that runs on an engine which is about to leave.
struct running_stream {
  std::string request_id;
  rank work_rank = rank::kNormal;
  int64_t prompt_tokens = 0;
  int64_t delivered_tokens = 0;
  int64_t max_tokens = 0;
  /// Time since the request came in.
  duration age{};

  bool operator==(const running_stream&) const = default;
};

enum class move_kind {
  kStay,      ///< Ends on its own in time, or has nothing to move yet.
  kTransfer,  ///< Its KV cache goes along; nothing is computed again.
  kResume,    ///< Goes on elsewhere from its offset, with a prefill.
};

struct planned_move {
  std::string request_id;
  move_kind kind = move_kind::kStay;

  bool operator==(const planned_move&) const = default;
};

/// What moves cost.
struct move_parameters {
  /// Time of one transfer, generously.
  milliseconds transfer_time{250};
  size_t parallel_transfers = 8;
  /// Part of the notice, at its end, in which no transfer may be under way.
  milliseconds reserve{1000};

  bool operator==(const move_parameters&) const = default;
};

/// What becomes of each stream of an engine that leaves at `notice_end`, in
/// the order in which to begin: by rank, then by tokens that a transfer saves.
/// What does not fit into the notice is resumed with a prefill. To be planned
/// anew while the notice runs.
std::vector<planned_move> PlanMoves(std::vector<running_stream> streams,
                                    const move_parameters& parameters,
                                    time_point now, time_point notice_end);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_MOVE_PLAN_H_

#include "skylarkcroft/control/skylarkcroft_move_plan.h"

#include <algorithm>
#include <tuple>

namespace skylarkcroft {
namespace {

// `age` includes time in queues, so the estimate of the remaining time is too
// long rather than too short: a stream is moved unnecessarily rather than cut
// off.
bool FinishesWithin(const running_stream& stream, duration time_left) {
  if (stream.delivered_tokens == 0) {
    return false;
  }
  const int64_t remaining =
      std::max<int64_t>(0, stream.max_tokens - stream.delivered_tokens);
  const auto needed = stream.age / stream.delivered_tokens * remaining;
  return needed <= time_left;
}

int64_t TokensSaved(const running_stream& stream) {
  return stream.prompt_tokens + stream.delivered_tokens;
}

bool MovesBefore(const running_stream& left, const running_stream& right) {
  return std::make_tuple(left.work_rank, -TokensSaved(left), left.request_id) <
         std::make_tuple(right.work_rank, -TokensSaved(right),
                         right.request_id);
}

}  // namespace

std::vector<planned_move> PlanMoves(std::vector<running_stream> streams,
                                    const move_parameters& parameters,
                                    time_point now, time_point notice_end) {
  const duration time_left = notice_end - now - duration(parameters.reserve);
  const auto transfer_rounds = std::max<duration::rep>(
      0, time_left / duration(parameters.transfer_time));
  size_t transfers_left =
      static_cast<size_t>(transfer_rounds) * parameters.parallel_transfers;
  std::sort(streams.begin(), streams.end(), MovesBefore);
  std::vector<planned_move> moves;
  moves.reserve(streams.size());
  for (const running_stream& stream : streams) {
    const bool wait_for_token =
        stream.delivered_tokens == 0 && transfer_rounds > 1;
    if (wait_for_token || FinishesWithin(stream, time_left)) {
      moves.push_back({stream.request_id, move_kind::kStay});
      continue;
    }
    if (stream.delivered_tokens == 0 || transfers_left == 0) {
      moves.push_back({stream.request_id, move_kind::kResume});
      continue;
    }
    --transfers_left;
    moves.push_back({stream.request_id, move_kind::kTransfer});
  }
  return moves;
}

}  // namespace skylarkcroft

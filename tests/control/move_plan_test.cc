#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_move_plan.h"

namespace skylarkcroft {
namespace {

using std::chrono::seconds;

const time_point kStart{std::chrono::hours(1)};

/// A stream that generates ten tokens per second.
running_stream Stream(const std::string& id, rank work_rank,
                      int64_t prompt_tokens, int64_t delivered_tokens,
                      int64_t max_tokens) {
  return {id,
          work_rank,
          prompt_tokens,
          delivered_tokens,
          max_tokens,
          milliseconds(100 * delivered_tokens)};
}

}  // namespace

TEST_CASE("Streams move by rank, then by tokens saved", "[control][moves]") {
  const std::vector<planned_move> moves =
      PlanMoves({Stream("batch", rank::kBatch, 9000, 50, 900),
                 Stream("small", rank::kNormal, 10, 50, 900),
                 Stream("large", rank::kNormal, 500, 50, 900),
                 Stream("urgent", rank::kUrgent, 10, 50, 900),
                 Stream("ending", rank::kUrgent, 10, 860, 900)},
                {}, kStart, kStart + seconds(10));
  CHECK(moves == std::vector<planned_move>{{"ending", move_kind::kStay},
                                           {"urgent", move_kind::kTransfer},
                                           {"large", move_kind::kTransfer},
                                           {"small", move_kind::kTransfer},
                                           {"batch", move_kind::kTransfer}});
}

TEST_CASE("Streams that do not fit into the notice are resumed",
          "[control][moves]") {
  move_parameters parameters;
  parameters.parallel_transfers = 1;
  const std::vector<running_stream> streams{
      Stream("a", rank::kUrgent, 10, 50, 900),
      Stream("b", rank::kUrgent, 20, 50, 900),
      Stream("c", rank::kUrgent, 30, 50, 900)};
  const auto plan = [&](milliseconds notice) {
    return PlanMoves(streams, parameters, kStart, kStart + notice);
  };
  CHECK(plan(milliseconds(1500)) ==
        std::vector<planned_move>{{"c", move_kind::kTransfer},
                                  {"b", move_kind::kTransfer},
                                  {"a", move_kind::kResume}});
  CHECK(plan(milliseconds(900))[0].kind == move_kind::kResume);
  CHECK(plan(milliseconds(-5000))[0].kind == move_kind::kResume);
}

TEST_CASE("A stream without tokens stays while there is time for its first one",
          "[control][moves]") {
  const std::vector<running_stream> streams{
      Stream("a", rank::kUrgent, 10, 0, 900)};
  CHECK(PlanMoves(streams, {}, kStart, kStart + seconds(10))[0].kind ==
        move_kind::kStay);
  CHECK(PlanMoves(streams, {}, kStart, kStart + milliseconds(1400))[0].kind ==
        move_kind::kResume);
}

}  // namespace skylarkcroft

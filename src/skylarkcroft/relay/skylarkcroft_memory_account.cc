#include "skylarkcroft/relay/skylarkcroft_memory_account.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

constexpr int64_t kBytesOfMb = 1048576;
// What a node needs for itself: program, tables, reports of peers and the
// allocator's overhead.
constexpr int64_t kOwnMb = 40;
// A host that has little more than that still serves small requests.
constexpr int64_t kLeastShare = 4;

// Grows with the bytes that are held and the time without a move.
double CostOf(const memory_holder& holder, time_point now) {
  const auto still =
      std::chrono::duration_cast<milliseconds>(now - holder.moved_at);
  return static_cast<double>(holder.held) *
         static_cast<double>(still.count() + 1);
}

}  // namespace

std::string_view ToString(memory_pressure pressure) {
  switch (pressure) {
    case memory_pressure::kNone:
      return "none";
    case memory_pressure::kPause:
      return "pause";
    case memory_pressure::kRefuse:
      return "refuse";
    case memory_pressure::kClose:
      return "close";
  }
  return "unknown";
}

memory_bounds BoundsOfHost(int64_t memory_mb) {
  memory_bounds bounds;
  const int64_t limit_mb =
      std::max(memory_mb - kOwnMb, memory_mb / kLeastShare);
  bounds.limit_bytes = static_cast<size_t>(limit_mb * kBytesOfMb);
  return bounds;
}

memory_pressure memory_account::pressure() const {
  if (!is_bounded()) {
    return memory_pressure::kNone;
  }
  const double share =
      static_cast<double>(held_) / static_cast<double>(bounds_.limit_bytes);
  if (share >= bounds_.close_share) {
    return memory_pressure::kClose;
  }
  if (share >= bounds_.refuse_share) {
    return memory_pressure::kRefuse;
  }
  return share >= bounds_.pause_share ? memory_pressure::kPause
                                      : memory_pressure::kNone;
}

size_t memory_account::Excess() const {
  const auto relieved = static_cast<size_t>(
      bounds_.relieved_share * static_cast<double>(bounds_.limit_bytes));
  return held_ > relieved ? held_ - relieved : 0;
}

std::vector<uint64_t> ChooseToGiveUp(std::vector<memory_holder> holders,
                                     size_t excess, bool urgent,
                                     const memory_bounds& bounds,
                                     time_point now) {
  std::erase_if(holders, [&](const memory_holder& one) {
    const bool moves = now - one.moved_at < bounds.max_pressure;
    return one.held == 0 || (!urgent && (moves || one.is_at_work));
  });
  std::sort(holders.begin(), holders.end(),
            [&](const memory_holder& left, const memory_holder& right) {
              return left.is_at_work != right.is_at_work
                         ? right.is_at_work
                         : CostOf(left, now) > CostOf(right, now);
            });
  std::vector<uint64_t> given_up;
  size_t freed = 0;
  for (const memory_holder& one : holders) {
    if (freed >= excess) {
      break;
    }
    freed += one.held;
    given_up.push_back(one.number);
  }
  return given_up;
}

}  // namespace skylarkcroft

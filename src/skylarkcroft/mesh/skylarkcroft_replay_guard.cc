#include "skylarkcroft/mesh/skylarkcroft_replay_guard.h"

#include <cstdlib>

namespace skylarkcroft {
namespace {

constexpr uint64_t kWindow = 64;

}  // namespace

std::optional<mesh_drop> replay_guard::Check(const mesh_message& message,
                                             int64_t wall_ms) {
  if (std::llabs(wall_ms - message.sent_at_ms) > freshness_.count()) {
    return mesh_drop::kOutOfDate;
  }
  window& known = windows_[message.sender];
  if (message.incarnation < known.incarnation) {
    return mesh_drop::kOldIncarnation;
  }
  if (message.incarnation > known.incarnation) {
    known = {message.incarnation, message.sequence, 1};
    return std::nullopt;
  }
  if (message.sequence > known.highest) {
    const uint64_t shift = message.sequence - known.highest;
    known.seen = shift < kWindow ? (known.seen << shift) | 1 : 1;
    known.highest = message.sequence;
    return std::nullopt;
  }
  const uint64_t age = known.highest - message.sequence;
  if (age >= kWindow || ((known.seen >> age) & 1) != 0) {
    return mesh_drop::kReplayed;
  }
  known.seen |= uint64_t{1} << age;
  return std::nullopt;
}

}  // namespace skylarkcroft

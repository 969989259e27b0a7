#include "skylarkcroft/mesh/skylarkcroft_replay_guard.h"

#include <cstdlib>

namespace skylarkcroft {
namespace {

// Number of sequences that the bits of `seen` cover.
constexpr uint64_t kWindowSize = 64;

}  // namespace

std::optional<mesh_drop> replay_guard::Check(const mesh_message& message,
                                             int64_t wall_ms) {
  if (std::llabs(wall_ms - message.sent_at_ms) > max_message_age_.count()) {
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
  if (message.sequence > known.highest_sequence) {
    const uint64_t shift = message.sequence - known.highest_sequence;
    known.seen = shift < kWindowSize ? (known.seen << shift) | 1 : 1;
    known.highest_sequence = message.sequence;
    return std::nullopt;
  }
  const uint64_t age = known.highest_sequence - message.sequence;
  if (age >= kWindowSize || ((known.seen >> age) & 1) != 0) {
    return mesh_drop::kReplayed;
  }
  known.seen |= uint64_t{1} << age;
  return std::nullopt;
}

}  // namespace skylarkcroft

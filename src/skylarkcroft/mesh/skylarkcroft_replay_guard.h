#ifndef SKYLARKCROFT_MESH_SKYLARKCROFT_REPLAY_GUARD_H_
#define SKYLARKCROFT_MESH_SKYLARKCROFT_REPLAY_GUARD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh_message.h"

namespace skylarkcroft {

/// Rejects messages that were received before, that are too old, or that come
/// from a process that was replaced by a later one of the same name.
class replay_guard {
 public:
  /// `max_message_age` is the maximum difference between a message's send time
  /// and the receiver's wall clock.
  explicit replay_guard(milliseconds max_message_age)
      : max_message_age_(max_message_age) {}

  /// Returns nullopt when `message` is accepted, otherwise the reason to drop
  /// it. `wall_ms` is the receiver's wall clock, milliseconds since the Unix
  /// epoch.
  std::optional<mesh_drop> Check(const mesh_message& message, int64_t wall_ms);
  /// Discards the state kept for `sender`.
  void Forget(const std::string& sender) { windows_.erase(sender); }

 private:
  struct window {
    int64_t incarnation = 0;
    uint64_t highest_sequence = 0;
    /// Bit n is set when the sequence `highest_sequence` - n was received.
    uint64_t seen = 0;
  };

  milliseconds max_message_age_;
  std::unordered_map<std::string, window> windows_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_REPLAY_GUARD_H_

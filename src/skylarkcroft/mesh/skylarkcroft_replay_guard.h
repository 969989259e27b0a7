#ifndef SKYLARKCROFT_MESH_SKYLARKCROFT_REPLAY_GUARD_H_
#define SKYLARKCROFT_MESH_SKYLARKCROFT_REPLAY_GUARD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh_message.h"

namespace skylarkcroft {

/// Refuses messages that were seen before, are older than a bound, or come from
/// a process that a later one has replaced.
class replay_guard {
 public:
  /// `freshness` bounds the difference between the two wall clocks.
  explicit replay_guard(milliseconds freshness) : freshness_(freshness) {}

  /// Empty when `message` may be used. `wall_ms` is the receiver's wall clock.
  std::optional<mesh_drop> Check(const mesh_message& message, int64_t wall_ms);
  /// Forgets what was seen of `sender`.
  void Forget(const std::string& sender) { windows_.erase(sender); }

 private:
  struct window {
    int64_t incarnation = 0;
    uint64_t highest = 0;
    /// Bit n tells whether `highest` - n was seen.
    uint64_t seen = 0;
  };

  milliseconds freshness_;
  std::unordered_map<std::string, window> windows_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_REPLAY_GUARD_H_

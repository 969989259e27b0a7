#ifndef SKYLARKCROFT_STORE_SKYLARKCROFT_STORE_UPTIME_H_
#define SKYLARKCROFT_STORE_SKYLARKCROFT_STORE_UPTIME_H_

#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Tells a store that was away from a node that was cut off from it, by the
/// responses that this node or any peer has had.
class store_uptime {
 public:
  /// The store responded to this node or to a peer at `at`.
  void RecordResponse(time_point at);
  /// The store has come back from an older copy.
  void OnRestored(time_point now);

  /// Since when the store is known to have responded without a gap; empty
  /// before the first response.
  [[nodiscard]] const std::optional<time_point>& up_since() const {
    return up_since_;
  }

 private:
  std::optional<time_point> up_since_;
  std::optional<time_point> last_response_at_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_STORE_UPTIME_H_

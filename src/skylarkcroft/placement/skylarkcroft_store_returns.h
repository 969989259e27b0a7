#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_STORE_RETURNS_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_STORE_RETURNS_H_

#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/store/skylarkcroft_store_uptime.h"

namespace skylarkcroft {

/// Decides for how long an upstream whose entry was removed is kept, since the
/// entry may have lapsed only because the store was unreachable.
class store_returns {
 public:
  /// `grace` is the time that upstreams are given to register again.
  explicit store_returns(milliseconds grace) : grace_(grace) {}

  /// Records whether the store is reachable; `has_entries` says whether any
  /// upstream was known before.
  void OnContact(bool reachable, bool has_entries, time_point now);
  /// The store has come back from an older copy.
  void OnRestored(time_point now);
  /// The store responded to this node or to a peer at `at`.
  void OnResponse(time_point at) { uptime_.RecordResponse(at); }

  /// Whether an entry that is missing now may have lapsed only because the
  /// store was unreachable.
  [[nodiscard]] bool MayHaveLapsed(time_point now) const;
  /// When an upstream that was removed at `removed_at` and has not registered
  /// again is dropped.
  [[nodiscard]] time_point GraceEnd(time_point removed_at, bool drains) const;

 private:
  /// When the store returned after this node last lost it: when this node had
  /// it back, or when peers show that it had returned before.
  [[nodiscard]] std::optional<time_point> ReturnedAt() const;

  milliseconds grace_;
  bool reachable_ = false;
  std::optional<time_point> reachable_since_;
  store_uptime uptime_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_STORE_RETURNS_H_

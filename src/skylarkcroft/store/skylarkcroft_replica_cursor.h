#ifndef SKYLARKCROFT_STORE_SKYLARKCROFT_REPLICA_CURSOR_H_
#define SKYLARKCROFT_STORE_SKYLARKCROFT_REPLICA_CURSOR_H_

#include <cstdint>
#include <optional>

#include "skylarkcroft/store/skylarkcroft_store_position.h"

namespace skylarkcroft {

/// What to do with a response of the store or with changes from a peer.
enum class replica_step {
  kIgnore,     ///< It is of an older era, or does not adjoin the replica.
  kApply,      ///< Its rows advance the replica.
  kReadWhole,  ///< The table has to be read whole; until then the rows of the
               ///< replica stay in force.
};

/// Decides how a replica of a table follows the store through restores from
/// older copies. Holds no rows and does no I/O.
class replica_cursor {
 public:
  /// What the replica has reached; empty before the first whole read.
  [[nodiscard]] const std::optional<store_position>& place() const {
    return place_;
  }
  /// The table's newest change up to the place: it has none between the two.
  /// After a whole read the place itself, as a removal leaves no row to read.
  [[nodiscard]] store_position newest_change() const {
    return {place_.has_value() ? place_->era : 0, newest_change_};
  }
  /// True before the first whole read, when the store no longer keeps the
  /// changes since the place, when a change was missed, and when a later era is
  /// known of.
  [[nodiscard]] bool NeedsWholeRead() const;
  /// Whether a peer has told of a later change or a later era.
  [[nodiscard]] bool IsBehindPeers() const;
  /// Whether only a peer has told of the later era, not the store.
  [[nodiscard]] bool LearnedEraFromPeer() const;

  /// A call to the store is sent. What peers have told until now is settled by
  /// its response.
  void OnCall();
  /// A whole read has returned the rows at `at`; returns whether they replace
  /// the replica.
  [[nodiscard]] bool OnRead(const store_position& at);
  /// A request for the changes after `from` was answered with those up to `at`.
  /// `newest_row` is the version of the last of them, 0 when there are none.
  /// With `reaches_newest` the store has no later ones.
  [[nodiscard]] replica_step OnChanges(const store_position& from,
                                       const store_position& at,
                                       int64_t newest_row = 0,
                                       bool reaches_newest = true);
  /// The store, in `era`, does not have the changes since the place.
  void OnHistoryGone(int64_t era);
  /// The table is to be read whole, since the replica has missed a change or
  /// since that is cheaper than to read its changes.
  void RequestWholeRead() { history_gone_ = true; }
  /// A peer passed on the changes after `after`, up to version `up_to` of the
  /// same era. `newest_row` is as with OnChanges().
  [[nodiscard]] replica_step OnPeerChanges(const store_position& after,
                                           int64_t up_to,
                                           int64_t newest_row = 0);
  /// A peer knows of a change at `newest_change`. Returns whether this is
  /// later than what any peer has told before.
  bool OnPeerPosition(const store_position& newest_change);

 private:
  /// Forgets what peers have told if the response to a later call does not
  /// bear it out: the store knows better.
  void SettlePeerPosition(const store_position& at);

  std::optional<store_position> place_;
  int64_t newest_change_ = 0;
  bool history_gone_ = false;
  /// Newest era in which the store has answered.
  int64_t store_era_ = 0;
  /// Latest change that a peer has told of, and the same when the call in
  /// flight was sent.
  store_position newest_peer_change_;
  store_position peer_change_at_call_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_REPLICA_CURSOR_H_

#include "skylarkcroft/store/skylarkcroft_replica_cursor.h"

#include <algorithm>

namespace skylarkcroft {

bool replica_cursor::NeedsWholeRead() const {
  return !place_.has_value() || history_gone_ || place_->era < store_era_ ||
         place_->era < newest_peer_change_.era;
}

bool replica_cursor::IsBehindPeers() const {
  return place_.has_value() && newest_peer_change_ > *place_;
}

bool replica_cursor::LearnedEraFromPeer() const {
  return place_.has_value() && !history_gone_ && place_->era == store_era_ &&
         newest_peer_change_.era > store_era_;
}

void replica_cursor::OnCall() { peer_change_at_call_ = newest_peer_change_; }

void replica_cursor::SettlePeerPosition(const store_position& at) {
  if (newest_peer_change_ == peer_change_at_call_ && newest_peer_change_ > at) {
    newest_peer_change_ = at;
  }
}

bool replica_cursor::OnRead(const store_position& at) {
  if (at.era < store_era_) {
    return false;
  }
  store_era_ = at.era;
  place_ = at;
  newest_change_ = at.version;
  history_gone_ = false;
  SettlePeerPosition(at);
  return true;
}

replica_step replica_cursor::OnChanges(const store_position& from,
                                       const store_position& at,
                                       int64_t newest_row,
                                       bool reaches_newest) {
  if (at.era < store_era_ || !place_.has_value()) {
    return replica_step::kIgnore;
  }
  store_era_ = at.era;
  // A store that states no era is known to be restored by a version that lies
  // before one that it has given out.
  const bool went_back = at.era == from.era && at.version < from.version;
  if (at.era > place_->era || went_back) {
    history_gone_ = true;
    return replica_step::kReadWhole;
  }
  if (reaches_newest) {
    SettlePeerPosition(at);
  }
  place_->version = std::max(place_->version, at.version);
  newest_change_ = std::max(newest_change_, newest_row);
  return replica_step::kApply;
}

void replica_cursor::OnHistoryGone(int64_t era) {
  store_era_ = std::max(store_era_, era);
  history_gone_ = true;
}

replica_step replica_cursor::OnPeerChanges(const store_position& after,
                                           int64_t up_to, int64_t newest_row) {
  if (NeedsWholeRead()) {
    return replica_step::kIgnore;
  }
  const bool adjoins = after.era == place_->era &&
                       after.version <= place_->version &&
                       up_to > place_->version;
  if (!adjoins) {
    return replica_step::kIgnore;
  }
  place_->version = up_to;
  newest_change_ = std::max(newest_change_, newest_row);
  return replica_step::kApply;
}

bool replica_cursor::OnPeerPosition(const store_position& newest_change) {
  if (newest_change <= newest_peer_change_ || newest_change.era < store_era_) {
    return false;
  }
  newest_peer_change_ = newest_change;
  return true;
}

}  // namespace skylarkcroft

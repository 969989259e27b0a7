#include "skylarkcroft/store/skylarkcroft_replica_audit.h"

namespace skylarkcroft {

bool replica_audit::OnPeerReport(const table_position& peer,
                                 const table_position& own, time_point now) {
  const bool comparable = peer.newest_change == own.newest_change &&
                          peer.digest.has_value() && own.digest.has_value();
  if (!comparable) {
    return false;
  }
  if (own.newest_change != newest_change_ || own.digest != digest_) {
    newest_change_ = own.newest_change;
    digest_ = own.digest;
    agreeing_ = 0;
    differing_ = 0;
  }
  if (peer.digest == own.digest) {
    ++agreeing_;
    return false;
  }
  ++differing_;
  const bool too_soon =
      found_at_.has_value() && now - *found_at_ < min_interval_;
  if (differing_ <= agreeing_ || too_soon) {
    return false;
  }
  found_at_ = now;
  return true;
}

}  // namespace skylarkcroft

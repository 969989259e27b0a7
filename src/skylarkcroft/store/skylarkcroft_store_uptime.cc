#include "skylarkcroft/store/skylarkcroft_store_uptime.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

// Nodes that watch get a response twice in this time. In a shorter outage an
// upstream misses one of the three reports after which its entry lapses.
constexpr milliseconds kMaxGap{1000};

}  // namespace

void store_uptime::RecordResponse(time_point at) {
  const bool after_gap =
      !last_response_at_.has_value() || at - *last_response_at_ > kMaxGap;
  if (after_gap) {
    up_since_ = at;
  }
  last_response_at_ = std::max(last_response_at_.value_or(at), at);
}

void store_uptime::OnRestored(time_point now) {
  up_since_ = now;
  last_response_at_ = now;
}

}  // namespace skylarkcroft

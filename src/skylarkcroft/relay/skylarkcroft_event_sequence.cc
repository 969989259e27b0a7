#include "skylarkcroft/relay/skylarkcroft_event_sequence.h"

#include <utility>

namespace skylarkcroft {

void event_sequence::StartAttempt() {
  splitter_.Clear();
  event_seen_ = false;
}

event_verdict event_sequence::Accept(const raw_sse_event& event) {
  const bool already_sent =
      event.id.has_value() && last_id_.has_value() && *event.id <= *last_id_;
  if (already_sent) {
    return event_verdict::kAlreadySent;
  }
  if (LeavesGap(event)) {
    return event_verdict::kGap;
  }
  if (event.id.has_value()) {
    last_id_ = event.id;
  }
  ++sent_;
  return event_verdict::kForward;
}

bool event_sequence::LeavesGap(const raw_sse_event& event) {
  if (!event.id.has_value()) {
    return false;
  }
  const bool follows = last_id_.has_value() && *event.id == *last_id_ + 1;
  const bool first_of_attempt = !std::exchange(event_seen_, true);
  if (first_of_attempt) {
    // Upstreams need not number events one by one, so a gap shows only where
    // all events before were numbered so.
    return sent_ > 1 && ids_consecutive_ && !follows;
  }
  ids_consecutive_ = ids_consecutive_ && follows;
  return false;
}

}  // namespace skylarkcroft

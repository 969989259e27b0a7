#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_EVENT_SEQUENCE_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_EVENT_SEQUENCE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/relay/skylarkcroft_sse_splitter.h"

namespace skylarkcroft {

/// What is to be done with an event of an upstream's stream.
enum class event_verdict {
  kForward,
  kAlreadySent,  ///< The client has it from an earlier attempt.
  kGap,          ///< Events before it are missing.
};

/// The events that a client has got so far, over all attempts of its request.
class event_sequence {
 public:
  /// The next bytes are those of another attempt.
  void StartAttempt();
  /// Appends bytes of the attempt and returns the events that are now complete.
  std::vector<raw_sse_event> Split(std::string_view bytes) {
    return splitter_.Feed(bytes);
  }
  /// Decides on the next event; one to forward counts as sent.
  event_verdict Accept(const raw_sse_event& event);

  /// Bytes after the attempt's last complete event.
  [[nodiscard]] const std::string& remainder() const {
    return splitter_.remainder();
  }
  /// Memory that these bytes take.
  [[nodiscard]] size_t held_bytes() const { return splitter_.held_bytes(); }
  /// Id of the last event sent to the client.
  [[nodiscard]] std::optional<int64_t> last_id() const { return last_id_; }
  /// Number of events sent to the client.
  [[nodiscard]] int64_t sent() const { return sent_; }

 private:
  /// Whether `event`, the next to forward, does not follow the last one of the
  /// attempt before.
  [[nodiscard]] bool LeavesGap(const raw_sse_event& event);

  sse_splitter splitter_;
  std::optional<int64_t> last_id_;
  int64_t sent_ = 0;
  /// An event with an id of this attempt has been accepted.
  bool event_seen_ = false;
  /// The ids of the events within each attempt so far rose by one.
  bool ids_consecutive_ = true;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_EVENT_SEQUENCE_H_

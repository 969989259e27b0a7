#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_FORWARDED_HEAD_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_FORWARDED_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/relay/skylarkcroft_header_names.h"
#include "skylarkcroft/wire/skylarkcroft_message_reader.h"

namespace skylarkcroft {

/// What the relay itself states on a request to an upstream.
struct forwarded_request {
  std::string upstream_id;
  milliseconds remaining{0};
  std::string workspace;  ///< Empty for an anonymous request.
  std::optional<int> urgency;
  /// Last event that the client has; empty leaves the client's own word.
  std::optional<int64_t> last_event_id;

  bool operator==(const forwarded_request&) const = default;
};

/// The bytes of the request to an upstream: the client's own headers but for
/// those of its connection and those that only the relay sets.
std::string FormatForwarded(const message_head& head, const std::string& body,
                            const forwarded_request& set,
                            const header_names& names);

/// An upstream's headers as the client gets them: all but those of the
/// connection and its framing.
http_headers ForwardedAnswerHeaders(const message_head& head);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_FORWARDED_HEAD_H_

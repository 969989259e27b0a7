#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_REQUEST_FORWARDING_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_REQUEST_FORWARDING_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/relay/skylarkcroft_header_names.h"
#include "skylarkcroft/wire/skylarkcroft_message_reader.h"

namespace skylarkcroft {

/// Header values that the relay sets on a request to an upstream.
struct forwarding_fields {
  std::string upstream_id;
  milliseconds remaining{0};   ///< Time until the request's deadline.
  std::string workspace;       ///< Empty for an anonymous request.
  std::optional<int> urgency;  ///< 0 (first) to 9; not sent where empty.
  /// Id of the last event sent to the client; if empty, the client's own header
  /// is passed through.
  std::optional<int64_t> last_event_id;

  bool operator==(const forwarding_fields&) const = default;
};

/// Serializes the head of the request to an upstream, to which a body of
/// `body_bytes` follows. Client headers are copied except
/// hop-by-hop headers and those that only the relay may set.
std::string FormatUpstreamHead(const message_head& head, size_t body_bytes,
                               const forwarding_fields& fields,
                               const header_names& names);

/// The value of Retry-After: seconds with three decimals.
std::string FormatSeconds(milliseconds duration);

/// The upstream's response headers for the client, without hop-by-hop and
/// framing headers.
http_headers ClientResponseHeaders(const message_head& head);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_REQUEST_FORWARDING_H_

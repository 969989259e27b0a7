#ifndef SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_REQUEST_NOTICE_H_
#define SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_REQUEST_NOTICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_key.h"

namespace skylarkcroft {

/// An upstream crashed while it had a request. Times are relative, since the
/// nodes' clocks differ.
struct request_crash {
  uint32_t upstream = 0;  ///< UpstreamKey() of its id.
  request_key request = 0;
  milliseconds age{0};       ///< Time since the crash.
  milliseconds run_time{0};  ///< From the sending of the request to the crash.

  bool operator==(const request_crash&) const = default;
};

/// A request that ended well.
struct request_success {
  request_key request = 0;
  milliseconds age{0};  ///< Time since then.

  bool operator==(const request_success&) const = default;
};

/// A request that crashes upstreams.
struct quarantined_request {
  request_key request = 0;
  milliseconds first_crash_age{0};
  milliseconds remaining{0};  ///< Time until the quarantine ends.
  /// Number of times that the request was quarantined before.
  int relapses = 0;

  bool operator==(const quarantined_request&) const = default;
};

/// What a node tells its peers on requests. May be lost, delayed or duplicated.
struct request_notice {
  /// Crashes that the node saw itself, and for requests with several crashes
  /// the earlier ones too.
  std::vector<request_crash> crashes;
  std::vector<request_success> successes;
  /// Upstreams that the node got bytes from after a crash was told.
  std::vector<uint32_t> alive;
  /// Upstreams whose crash just now is due to something else.
  std::vector<uint32_t> explained;
  std::vector<quarantined_request> quarantined;

  [[nodiscard]] bool empty() const {
    return crashes.empty() && successes.empty() && alive.empty() &&
           explained.empty() && quarantined.empty();
  }
  bool operator==(const request_notice&) const = default;
};

/// Encodes a notice as datagrams that fit into one packet each. The format is
/// CBOR with positional items.
std::vector<std::string> EncodeRequestNotice(const request_notice& notice);

/// Decodes one datagram; returns nothing if `bytes` holds no notice.
std::optional<request_notice> DecodeRequestNotice(std::string_view bytes);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_REQUEST_NOTICE_H_

#ifndef SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_QUARANTINE_NOTICE_H_
#define SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_QUARANTINE_NOTICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/quarantine/skylarkcroft_crash_evidence.h"
#include "skylarkcroft/quarantine/skylarkcroft_prompt_key.h"

namespace skylarkcroft {

/// A part with which a request ended well.
struct part_success {
  part_key part = 0;
  milliseconds age{0};  ///< Time since then.

  bool operator==(const part_success&) const = default;
};

/// Parts that crash upstreams together: requests with all of them are rejected.
/// Times are relative, since the nodes' clocks differ.
struct quarantined_parts {
  std::vector<part_key> parts;
  milliseconds first_crash_age{0};
  milliseconds remaining{0};  ///< Time until the quarantine ends.
  /// Number of times that the parts were quarantined before.
  int relapses = 0;

  bool operator==(const quarantined_parts&) const = default;
};

/// What a node tells its peers on crashes. May be lost, delayed or duplicated.
struct quarantine_notice {
  std::vector<crash_suspect> crashes;  ///< That the node saw itself, just now.
  std::vector<part_success> successes;
  /// Keys of upstreams that the node got bytes from after a crash was told.
  std::vector<uint32_t> alive;
  std::vector<quarantined_parts> quarantined;

  [[nodiscard]] bool empty() const {
    return crashes.empty() && successes.empty() && alive.empty() &&
           quarantined.empty();
  }
  bool operator==(const quarantine_notice&) const = default;
};

/// Encodes a notice as datagrams that fit into one packet each. The format is
/// CBOR with positional items.
std::vector<std::string> EncodeNotice(const quarantine_notice& notice);

/// Decodes one datagram; returns nothing if `bytes` holds no notice.
std::optional<quarantine_notice> DecodeNotice(std::string_view bytes);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_QUARANTINE_NOTICE_H_

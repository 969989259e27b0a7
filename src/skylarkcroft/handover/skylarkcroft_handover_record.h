#ifndef SKYLARKCROFT_HANDOVER_SKYLARKCROFT_HANDOVER_RECORD_H_
#define SKYLARKCROFT_HANDOVER_SKYLARKCROFT_HANDOVER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_message.h"

namespace skylarkcroft {

/// One request that a leaving node gives to its successor. Only requests to
/// engines are handed over; the successor goes on after the last token.
struct handover_record {
  /// Stays the request's id.
  std::string id;
  std::string caller_name;
  std::string route_name;
  /// Method, target and body as the caller sent them.
  http_request original;
  /// Data of the tokens so far.
  std::vector<std::string> tokens;
  std::string usage;
  /// Milliseconds until the request's deadline.
  int64_t deadline_left_ms = 0;

  bool operator==(const handover_record&) const = default;
};

/// The body of `POST /peer/handover`.
std::string EncodeHandover(const std::vector<handover_record>& records);

/// Empty when `body` is not of that form.
std::optional<std::vector<handover_record>> DecodeHandover(
    const std::string& body);

/// The `NODE.INCARNATION` prefix of `request_id`; empty when it is malformed.
std::string OwnerOf(const std::string& request_id);

/// The node's name in an owner prefix.
std::string NodeNameOf(const std::string& owner);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HANDOVER_SKYLARKCROFT_HANDOVER_RECORD_H_

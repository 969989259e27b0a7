#ifndef SKYLARKCROFT_HANDOVER_SKYLARKCROFT_HANDOVER_RECORD_H_
#define SKYLARKCROFT_HANDOVER_SKYLARKCROFT_HANDOVER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_message.h"

namespace skylarkcroft {

/// One in-flight request that a draining node hands over to its successor. Only
/// requests to engines are handed over; the successor continues the response
/// after the last token.
struct handover_record {
  /// Request id; the successor keeps it.
  std::string id;
  std::string caller_name;
  std::string route_name;
  /// Method, target and body of the caller's request.
  http_request original;
  /// Data of the tokens received so far.
  std::vector<std::string> tokens;
  std::string usage;
  /// Time left until the request's deadline, milliseconds.
  int64_t deadline_left_ms = 0;

  bool operator==(const handover_record&) const = default;
};

/// Encodes the body of `POST /peer/handover` as JSON.
std::string EncodeHandover(const std::vector<handover_record>& records);

/// Decodes the body of `POST /peer/handover`; nullopt when it is malformed.
std::optional<std::vector<handover_record>> DecodeHandover(
    const std::string& body);

/// Encodes the reply to `POST /peer/handover`, which names the adopted
/// requests.
std::string EncodeAdopted(const std::vector<std::string>& ids);

/// Returns those of the `offered` ids that the reply `body` tells as adopted. A
/// reply that only counts them tells all or none; a malformed one tells none.
std::vector<std::string> DecodeAdopted(const std::string& body,
                                       const std::vector<std::string>& offered);

/// Returns the `NODE.INCARNATION` prefix of `request_id`, which has the form
/// `NODE.INCARNATION.NUMBER`; empty when it is malformed.
std::string OwnerOf(const std::string& request_id);

/// Returns the node name of a `NODE.INCARNATION` prefix.
std::string NodeNameOf(const std::string& owner);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HANDOVER_SKYLARKCROFT_HANDOVER_RECORD_H_

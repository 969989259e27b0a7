#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_COMPLETION_DOCUMENT_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_COMPLETION_DOCUMENT_H_

#include <string>

namespace skylarkcroft {

class buffered_response;

/// Fields of a completion document that don't come from the tokens.
struct completion_metadata {
  std::string request_id;
  std::string model;
  /// True for /v1/chat/completions, false for /v1/completions.
  bool chat = false;

  bool operator==(const completion_metadata&) const = default;
};

/// The JSON document for a client that did not ask for a stream, joined from
/// the events in `source`.
std::string MakeCompletionDocument(const buffered_response& source,
                                   const completion_metadata& metadata);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_COMPLETION_DOCUMENT_H_

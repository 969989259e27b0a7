#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_COMPLETION_DOCUMENT_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_COMPLETION_DOCUMENT_H_

#include <string>

namespace skylarkcroft {

class answer;

/// What a completion document says of itself beside the text.
struct completion_name {
  std::string request_id;
  std::string model;
  /// True for the chat form.
  bool chat = false;

  bool operator==(const completion_name&) const = default;
};

/// The one JSON document of an unstreamed completion, put together from the
/// tokens of `source`.
std::string CompletionDocument(const answer& source,
                               const completion_name& form);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_COMPLETION_DOCUMENT_H_

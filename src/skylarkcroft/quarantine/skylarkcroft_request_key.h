#ifndef SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_REQUEST_KEY_H_
#define SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_REQUEST_KEY_H_

#include <cstdint>
#include <string_view>

namespace skylarkcroft {

/// Key of a request; the same for it and its repeats at all nodes. Never 0.
using request_key = uint64_t;

/// What makes two requests the same, whichever node they come to.
struct request_identity {
  std::string_view service;
  std::string_view method;
  std::string_view target;  ///< Path and query.
  std::string_view workspace;
  std::string_view body;

  bool operator==(const request_identity&) const = default;
};

request_key MakeRequestKey(const request_identity& identity);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_REQUEST_KEY_H_

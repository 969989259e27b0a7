#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_ANSWER_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_ANSWER_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "skylarkcroft/http/skylarkcroft_http_message.h"

namespace skylarkcroft {

/// Where the answer to one client request goes. Either Send(), or Begin(),
/// Add()..., and End() or Break().
class client_answer {
 public:
  virtual ~client_answer() = default;

  /// A whole answer. `stated_length` is what the head states where the answer
  /// has no body, as for HEAD.
  virtual void Send(int status, const http_headers& headers,
                    std::string_view body,
                    std::optional<uint64_t> stated_length) = 0;
  /// An answer of unknown length.
  virtual void Begin(int status, const http_headers& headers) = 0;
  virtual void Add(std::string_view bytes) = 0;
  virtual void End() = 0;
  /// Closes the connection so that the answer cannot look whole.
  virtual void Break() = 0;
  /// Bytes that the client has not taken yet.
  [[nodiscard]] virtual size_t unsent() const = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_ANSWER_H_

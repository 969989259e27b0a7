#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RESPONSE_WRITER_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RESPONSE_WRITER_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "skylarkcroft/http/skylarkcroft_http_message.h"

namespace skylarkcroft {

/// Receives the response to one client request: either one call of Send(), or
/// StartChunked(), any number of WriteChunk(), then Finish() or Abort().
class response_writer {
 public:
  virtual ~response_writer() = default;

  /// Sends a complete response. `stated_length` overrides Content-Length where
  /// the response has no body, as for HEAD.
  virtual void Send(int status, const http_headers& headers, std::string body,
                    std::optional<uint64_t> stated_length) = 0;
  /// Starts a response of unknown length.
  virtual void StartChunked(int status, const http_headers& headers) = 0;
  virtual void WriteChunk(std::string_view bytes) = 0;
  virtual void Finish() = 0;
  /// Closes the connection without the final chunk, so that the client can tell
  /// that the response is incomplete.
  virtual void Abort() = 0;
  /// Bytes queued for the client but not yet written to its connection.
  [[nodiscard]] virtual size_t unsent() const = 0;
  /// Whether the client is known to have closed its connection, even if the
  /// event loop has not reported it yet.
  [[nodiscard]] virtual bool HasClientLeft() const = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RESPONSE_WRITER_H_

#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_TIMED_HTTP_CLIENT_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_TIMED_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Sends HTTP requests with a limit on their total time. A request without a
/// complete response within `timeout` is aborted by resetting its connection.
/// Connections are not reused after a request.
class timed_http_client {
 public:
  using done_fn = std::function<void(const std::optional<http_response>&)>;

  timed_http_client(event_loop& loop, http_client& client,
                    milliseconds timeout);
  timed_http_client(const timed_http_client&) = delete;
  timed_http_client& operator=(const timed_http_client&) = delete;

  /// `done` gets nothing when there was no complete response. It is never
  /// called from within this call, nor after this client was destroyed.
  void Send(const endpoint& address, const http_request& request,
            const done_fn& done);

 private:
  /// Destroys call `id` after the current callback has returned.
  void Close(uint64_t id);

  event_loop& loop_;
  http_client& client_;
  milliseconds timeout_;
  uint64_t next_id_ = 0;
  std::map<uint64_t, http_call_ptr> calls_;
};

/// True for a response with a status from 200 to 299.
bool Succeeded(const std::optional<http_response>& response);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_TIMED_HTTP_CLIENT_H_

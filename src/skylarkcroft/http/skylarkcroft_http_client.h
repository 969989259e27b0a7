#ifndef SKYLARKCROFT_HTTP_SKYLARKCROFT_HTTP_CLIENT_H_
#define SKYLARKCROFT_HTTP_SKYLARKCROFT_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class event_loop;

/// How one HTTP call ended.
enum class http_outcome {
  kComplete,       ///< The whole response arrived.
  kConnectFailed,  ///< No connection; no byte of the request was sent.
  kBroken,         ///< The connection failed after the request may have been
                   ///< sent.
  kTimedOut,       ///< No byte arrived for the progress timeout, or the call
                   ///< took longer than its total timeout.
  kMalformed,      ///< The response is not valid HTTP, is too large, has a
                   ///< status outside of 200 to 599, or follows too many
                   ///< interim responses.
};

/// Lower-case name of `outcome`, for logs and counters.
std::string_view ToString(http_outcome outcome);

/// What is known about a call that has ended. `response.body` is empty when
/// the body went to on_data.
struct http_result {
  http_outcome outcome = http_outcome::kBroken;
  /// False only when no byte of the request can have reached the peer.
  bool may_have_been_sent = true;
  /// The peer's system had not received the whole request when the last bytes
  /// of the response arrived.
  bool request_undelivered = false;
  http_response response{};
  /// The head of the final response arrived.
  bool response_begun = false;

  [[nodiscard]] bool Ok() const {
    constexpr int kFirstSuccess = 200;
    constexpr int kFirstRedirect = 300;
    return outcome == http_outcome::kComplete &&
           response.status >= kFirstSuccess && response.status < kFirstRedirect;
  }
};

/// Callbacks of one call; each may be empty. None runs after the call has been
/// cancelled, and none runs inside Send().
struct http_call_events {
  std::function<void(int status, const http_headers&)> on_headers;
  /// Body bytes as they arrive; when empty, the body is collected.
  std::function<void(std::string_view)> on_data;
  std::function<void(http_result)> on_done;
  /// The progress timeout has passed; whether the call ends as timed out. Asked
  /// again while the peer stays silent; when empty, the call ends. Must not
  /// destroy the call.
  std::function<bool()> may_end_silent{};
};

/// Timeouts and bounds of one call.
struct http_call_options {
  /// Longest silence between two reads.
  milliseconds progress_timeout{10000};
  size_t max_body_bytes = 16 * 1024 * 1024;
  /// False sends on a new connection that is closed afterwards.
  bool reuse_connection = true;
  /// Whether the connection may be kept after this response; empty for always.
  std::function<bool(const http_response&)> may_keep_connection{};
  /// Longest time until a new connection stands.
  milliseconds connect_timeout{2000};
  /// Longest time for the whole call; 0 sets no bound.
  milliseconds total_timeout{0};
  /// Most bytes that have arrived and are not yet a whole line or a whole
  /// chunk; 0 for what max_body_bytes and the greatest head take.
  size_t max_unread_bytes = 0;
};

/// A call under way; destroying it cancels the call and resets its connection.
class http_call {
 public:
  virtual ~http_call() = default;
};
using http_call_ptr = std::unique_ptr<http_call>;

/// HTTP/1.1 client with idle connections kept per endpoint for a bounded time,
/// on evhttp. A call that breaks or times out closes the idle connections to
/// its peer, since they may be as dead. Never repeats a request by itself.
///
/// A connection is reset when its call ends without a whole response, also by
/// the end of the process, so that nothing of the call is sent later. While a
/// call with a total timeout waits, unacknowledged bytes are sent again until
/// about that timeout or for 0.4 s, also while the process stands still.
class http_client {
 public:
  explicit http_client(event_loop& loop);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Starts `request`. The returned call must be kept until on_done.
  [[nodiscard]] http_call_ptr Send(const endpoint& peer,
                                   const http_request& request,
                                   const http_call_options& options,
                                   http_call_events events);
  /// Closes the idle connections to `peer`.
  void DropIdle(const endpoint& peer);
  /// The loop on which the client calls back.
  [[nodiscard]] event_loop& loop() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HTTP_SKYLARKCROFT_HTTP_CLIENT_H_

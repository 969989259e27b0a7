#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_UPSTREAM_LINKS_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_UPSTREAM_LINKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/wire/skylarkcroft_message_reader.h"
#include "skylarkcroft/wire/skylarkcroft_stream_socket.h"

namespace skylarkcroft {

class event_loop;

/// Times of connections to upstreams.
struct link_terms {
  /// An upstream is one hop away; a lost opening packet returns only after
  /// seconds, by when another upstream has answered.
  milliseconds connect_timeout{400};
  /// Data unacknowledged for this long fails the connection.
  milliseconds silence_limit{900};
  /// Idle connections are kept for this part of what the upstream announces.
  double idle_share = 0.6;
  /// And this long where it announces nothing.
  milliseconds idle_without_word{800};
  size_t max_idle_per_upstream = 32;

  bool operator==(const link_terms&) const = default;
};

/// How an exchange with an upstream ended.
enum class exchange_end {
  kComplete,      ///< The whole answer came.
  kNoConnection,  ///< Nothing was sent.
  kBroken,        ///< The connection ended before the answer did.
  kMalformed,     ///< The bytes that came are no answer.
};

/// Callbacks of an exchange; none runs inside Start(), none after it was
/// destroyed or ended. Each must be set.
struct exchange_events {
  std::function<void(const message_head&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void(exchange_end)> on_end;
};

/// What is sent on one connection and how its answer is told from others.
struct exchange_request {
  std::string upstream_id;
  endpoint address;
  std::string bytes;      ///< The whole request as it goes out.
  std::string id_header;  ///< Name of the header that names the request.
  std::string id;         ///< Empty when the client sent none.
  bool head_only = false;

  bool operator==(const exchange_request&) const = default;
};

/// One request and its answer on a connection of its own for that time.
/// Ending it closes the connection, which ends the work upstream.
class upstream_exchange {
 public:
  virtual ~upstream_exchange() = default;

  /// True once the request may have reached the upstream.
  [[nodiscard]] virtual bool sent() const = 0;
  virtual void SetReading(bool reading) = 0;
  /// Closes the connection; no callback runs from now on.
  virtual void Cancel() = 0;
};
using exchange_ptr = std::shared_ptr<upstream_exchange>;

/// Connections to upstreams, kept for reuse while idle.
class upstream_links {
 public:
  /// `on_opened` hears of each new connection.
  upstream_links(event_loop& loop, const link_terms& terms, clock_fn clock,
                 std::function<void()> on_opened);
  ~upstream_links();
  upstream_links(const upstream_links&) = delete;
  upstream_links& operator=(const upstream_links&) = delete;

  [[nodiscard]] exchange_ptr Start(const exchange_request& request,
                                   exchange_events events);
  /// Closes what has been idle for too long and gives up on connections that
  /// do not come about; to be called often.
  void Sweep(time_point now);
  /// Closes the idle connections to one upstream.
  void DropIdle(const std::string& upstream_id);

 private:
  class link;
  class exchange;
  using link_ptr = std::shared_ptr<link>;

  void Keep(const link_ptr& one);

  event_loop& loop_;
  link_terms terms_;
  clock_fn clock_;
  std::function<void()> on_opened_;
  std::map<std::string, std::list<link_ptr>> idle_;
  std::map<const exchange*, std::weak_ptr<exchange>> connecting_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_UPSTREAM_LINKS_H_

#ifndef SKYLARKCROFT_HTTP_SKYLARKCROFT_CONNECTION_TABLE_H_
#define SKYLARKCROFT_HTTP_SKYLARKCROFT_CONNECTION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "skylarkcroft/internal/skylarkcroft_time.h"

struct bufferevent;
struct event_base;

namespace skylarkcroft {

/// Bounds on one connection of a server.
struct connection_limits {
  /// Longest silence while no answer is under way.
  milliseconds silence_timeout{};
  /// Longest time from the first byte of a request to its last.
  milliseconds request_timeout{};
  /// Bytes held of a request that is being received.
  size_t max_request_bytes = 0;
  /// Connections at a time; 0 means no bound. One more ends the one that has
  /// been silent longest and awaits no answer.
  size_t max_connections = 0;

  bool operator==(const connection_limits&) const = default;
};

/// The connections of one HTTP server, from being accepted until they have been
/// closed. Closes those whose request takes too long to arrive, and bounds the
/// bytes held of each.
class connection_table {
 public:
  connection_table(const connection_limits& limits, clock_fn clock);
  ~connection_table();
  connection_table(const connection_table&) = delete;
  connection_table& operator=(const connection_table&) = delete;

  /// Makes the stream of a connection that is being accepted.
  bufferevent* Accept(event_base* base);
  /// Position of `stream` among all accepted connections, from 1.
  [[nodiscard]] uint64_t NumberOf(bufferevent* stream) const;
  /// A whole request has arrived. Until OnAnswered() the stream only detects
  /// that the peer has gone, and holds few bytes of requests sent ahead.
  void OnRequest(bufferevent* stream);
  /// The answer has been handed over; the next request may follow.
  void OnAnswered(bufferevent* stream, time_point now);
  /// Answers 408 on each connection whose request is overdue and closes it, and
  /// forgets connections that have been closed.
  void Sweep(time_point now);
  /// Whether bytes of answers wait to be taken, or bytes of requests to be
  /// read.
  [[nodiscard]] bool HasBytesWaiting() const;
  /// Forgets all connections.
  void Clear();

  [[nodiscard]] uint64_t accepted() const { return accepted_; }
  /// Connections that Sweep() has not forgotten.
  [[nodiscard]] size_t size() const { return open_.size(); }

 private:
  void DropFreed();
  /// Makes room for one more connection if there are too many.
  void EndMostSilent();

  class connection;

  connection_limits limits_;
  clock_fn clock_;
  uint64_t accepted_ = 0;
  std::unordered_map<bufferevent*, std::unique_ptr<connection>> open_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HTTP_SKYLARKCROFT_CONNECTION_TABLE_H_

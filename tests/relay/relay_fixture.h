#ifndef SKYLARKCROFT_TESTS_RELAY_RELAY_FIXTURE_H_
#define SKYLARKCROFT_TESTS_RELAY_RELAY_FIXTURE_H_

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_socket_address.h"
#include "skylarkcroft/relay/skylarkcroft_relay_quarantines.h"
#include "skylarkcroft/relay/skylarkcroft_relay_server.h"
#include "skylarkcroft/wire/skylarkcroft_stream_socket.h"
#include "tests/relay/scripted_upstream.h"

namespace skylarkcroft {

/// A client connection that keeps all bytes it has received.
class raw_client {
 public:
  raw_client(event_loop& loop, const endpoint& address)
      : socket_(std::make_unique<stream_socket>(
            loop, address, milliseconds(5000),
            socket_events{[this](std::string_view bytes) {
                            received.append(bytes);
                            return bytes.size();
                          },
                          [] {},
                          [this](bool clean) {
                            closed = true;
                            closed_cleanly = clean;
                          }})) {}

  void Send(const std::string& bytes) { socket_->Write(bytes); }
  /// Closes the connection.
  void Disconnect() { socket_.reset(); }

  std::string received;
  bool closed = false;
  /// The connection ended in an orderly way and not with a reset.
  bool closed_cleanly = false;

 private:
  std::unique_ptr<stream_socket> socket_;
};

/// How a client of SendAndLeave() ends its connection.
enum class leave_by {
  kClose,  ///< In an orderly way (FIN).
  kReset,  ///< With a reset, as a process that is killed with unread data.
};

/// Connects, sends `bytes` and leaves, all without the loop.
inline void SendAndLeave(const endpoint& address, const std::string& bytes,
                         leave_by way = leave_by::kClose) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in peer = ToSocketAddress(address);
  REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) ==
          0);
  REQUIRE(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(bytes.size()));
  if (way == leave_by::kReset) {
    const linger reset_on_close{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof reset_on_close);
  }
  close(fd);
}

/// Accepts one connection and reads nothing from it until asked.
class slow_listener {
 public:
  slow_listener() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int receive_buffer_bytes = 4096;
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof receive_buffer_bytes);
    sockaddr_in raw = ToSocketAddress({"127.0.0.1", 0});
    REQUIRE(bind(fd_, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) ==
            0);
    REQUIRE(listen(fd_, 1) == 0);
    socklen_t size = sizeof raw;
    getsockname(fd_, reinterpret_cast<sockaddr*>(&raw), &size);
    port_ = ntohs(raw.sin_port);
  }
  ~slow_listener() { close(fd_); }
  slow_listener(const slow_listener&) = delete;
  slow_listener& operator=(const slow_listener&) = delete;

  [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }
  /// Reads to the end of the stream. Returns 0, or the error that ended it.
  [[nodiscard]] int ReadUntilEnd() const {
    const int connection = accept(fd_, nullptr, nullptr);
    REQUIRE(connection >= 0);
    std::array<char, 65536> block{};
    ssize_t size = 0;
    do {
      size = recv(connection, block.data(), block.size(), 0);
    } while (size > 0);
    const int error = size < 0 ? errno : 0;
    close(connection);
    return error;
  }
  /// Accepts a connection, reads a request with a body of `body_bytes` or the
  /// end of the stream, writes `response` and closes.
  void AnswerOne(size_t body_bytes, const std::string& response) const {
    const int connection = accept(fd_, nullptr, nullptr);
    std::string request;
    std::array<char, 65536> block{};
    ssize_t size = 0;
    do {
      size = recv(connection, block.data(), block.size(), 0);
      request.append(block.data(),
                     static_cast<size_t>(std::max<ssize_t>(size, 0)));
    } while (size > 0 &&
             request.size() < request.find("\r\n\r\n") + 4 + body_bytes);
    send(connection, response.data(), response.size(), MSG_NOSIGNAL);
    close(connection);
  }

 private:
  int fd_;
  uint16_t port_ = 0;
};

/// A relay server with two upstreams and a route for each retry rule, plus one
/// with resumable streams.
class relay_fixture {
 public:
  relay_fixture()
      : connections(loop, connection_parameters{}, SteadyNow, [] {}),
        environment(MakeEnvironment()),
        server(environment, {"127.0.0.1", 0}) {
    balancer.Reset(
        {Entry("one", first_upstream), Entry("two", second_upstream)},
        SteadyNow());
  }

  static upstream_entry Entry(const std::string& id,
                              const scripted_upstream& upstream) {
    upstream_entry entry;
    entry.id = id;
    entry.service = "pool";
    entry.address = upstream.address();
    entry.slots = 8;
    return entry;
  }

  static service_route Route(const std::string& prefix, retry_rule repeat,
                             int attempts) {
    service_route route;
    route.name = prefix;
    route.host = "shop";
    route.path_prefix = prefix;
    route.repeat = repeat;
    route.services = {{"pool", 1}};
    route.max_attempts = attempts;
    route.timeout = milliseconds(3000);
    return route;
  }

  /// Sets how both upstreams handle requests.
  void SetHandler(const scripted_upstream::handler& on_request) {
    first_upstream.SetHandler(on_request);
    second_upstream.SetHandler(on_request);
  }
  /// Leaves an idle connection to each upstream, on which a further request is
  /// sent without waiting for a connection. The upstreams must answer.
  void OpenIdleConnections() {
    raw_client first(loop, server.address());
    raw_client second(loop, server.address());
    while (first_upstream.requests.empty() ||
           second_upstream.requests.empty()) {
      const size_t before = records.size();
      first.Send(Request("/safe/", "first"));
      second.Send(Request("/safe/", "second"));
      REQUIRE(Await([&] { return records.size() == before + 2; }));
    }
  }
  /// Number of requests that the upstreams have received.
  [[nodiscard]] size_t RequestCount() const {
    return first_upstream.requests.size() + second_upstream.requests.size();
  }
  /// The first request that either upstream has received.
  [[nodiscard]] const scripted_upstream::received_request& FirstRequest()
      const {
    return first_upstream.requests.empty() ? second_upstream.requests.front()
                                           : first_upstream.requests.front();
  }

  /// Runs the loop until `done` returns true, at most 8 s; returns whether it
  /// does.
  bool Await(const std::function<bool()>& done) {
    const auto poll = loop.Every(milliseconds(2), [&] {
      if (done()) {
        loop.Stop();
      }
    });
    loop.RunFor(milliseconds(8000));
    return done();
  }

  /// A POST request with 2500 ms left.
  static std::string Request(const std::string& path, const std::string& id,
                             const std::string& extra_headers = "",
                             const std::string& body = "hi") {
    return "POST " + path + " HTTP/1.1\r\nHost: shop\r\nX-Id: " + id +
           "\r\nX-Left: 2500\r\n" + extra_headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  /// A complete response to `request` with status 200.
  static std::string Response(
      const scripted_upstream::received_request& request,
      const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + request.head.headers.Get("X-Id") +
           "\r\nX-Sig: s\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  /// The head of a chunked event stream in response to `request`.
  static std::string StreamHead(
      const scripted_upstream::received_request& request) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + request.head.headers.Get("X-Id") +
           "\r\nX-Sig: s\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
  }
  /// The head of an event stream with neither a length nor chunks, which ends
  /// with its connection.
  static std::string UnframedStreamHead(
      const scripted_upstream::received_request& request) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + request.head.headers.Get("X-Id") +
           "\r\nX-Sig: s\r\nContent-Type: text/event-stream\r\n\r\n";
  }
  /// One event.
  static std::string Event(int id) {
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
  }
  /// One event as one chunk.
  static std::string EventChunk(int id) {
    const std::string event = Event(id);
    constexpr int kHex = 16;
    const auto size = static_cast<int>(event.size());
    const char digits[] = "0123456789abcdef";
    return std::string({digits[size / kHex], digits[size % kHex]}) + "\r\n" +
           event + "\r\n";
  }

  event_loop loop;
  scripted_upstream first_upstream{loop};
  scripted_upstream second_upstream{loop};
  load_balancer balancer{load_balancer_parameters{}};
  upstream_connections connections;
  token_quotas quotas{true};
  quota_priority quota_order{quota_priority_parameters{}};
  service_admission service_order{service_admission_parameters{}};
  service_retry_budget retries{service_retry_budget_parameters{}};
  part_quarantine quarantine{PartQuarantineOfRelay(),
                             [](const quarantine_event&) {}};
  request_quarantine crashing_requests{RequestQuarantineOfRelay(),
                                       [](const request_quarantine_event&) {}};
  std::vector<std::string> announcements;  ///< Kind and upstream of each.
  std::vector<request_record> records;
  std::vector<attempt_record> failed_attempts;
  /// Time since the shutdown request; negative before it.
  milliseconds since_shutdown{-1};
  service_map map = MakeMap();
  relay_environment environment;
  relay_server server;

 private:
  static service_map MakeMap() {
    service_map tables;
    tables.version = 1;
    tables.routes = {Route("/safe/", retry_rule::kAlways, 2),
                     Route("/once/", retry_rule::kOnlyIfNotExecuted, 2),
                     Route("/stream/", retry_rule::kStream, 2),
                     Route("/resume/", retry_rule::kStream, 2)};
    tables.routes.back().resumable = true;
    tables.pools = {{"pool", "/health", 10, std::nullopt, std::nullopt}};
    return tables;
  }

  relay_environment MakeEnvironment() {
    header_names names;
    names.request_id = "X-Id";
    names.remaining_ms = "X-Left";
    names.key = "X-Secret";
    names.workspace = "X-Workspace";
    names.expected_upstream = "X-Only";
    names.signature = "X-Sig";
    names.not_executed = "X-Not-Run";
    names.leaving = "X-Leaving";
    names.last_event_id = "Last-Event-Id";
    names.resumes = "Resumes";
    names.token_counts = "X-Tokens";
    names.prompt_parts = "X-Parts";
    names.urgency = "X-Urgency";
    names.reserved = {"X-Reserved"};
    return {
        loop,
        balancer,
        connections,
        quotas,
        quota_order,
        service_order,
        retries,
        quarantine,
        crashing_requests,
        names,
        relay_parameters{},
        gate_parameters{},
        quota_tolerance{},
        "a",
        SteadyNow,
        [this] {
          return tables_snapshot{std::make_shared<const service_lookup>(map),
                                 SteadyNow()};
        },
        [] { return size_t{1}; },
        [] { return 0.5; },
        [this] { return since_shutdown; },
        [](const std::string&) {},
        [this](std::string_view what, const std::string& upstream,
               const std::string&, milliseconds) {
          announcements.push_back(std::string(what) + " " + upstream);
        },
        [] {},
        [this](const attempt_record& record) {
          failed_attempts.push_back(record);
        },
        [this](const request_record& record) { records.push_back(record); }};
  }
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_RELAY_RELAY_FIXTURE_H_

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kTestLimit{5000};
const endpoint kAnyPort{"127.0.0.1", 0};

struct http_pair {
  explicit http_pair(http_handler_fn handler)
      : server(loop, kAnyPort, {}, std::move(handler)), client(loop) {}

  http_result Call(const http_request& request) {
    std::optional<http_result> ended;
    const http_call_ptr call = client.Send(
        server.address(), request, {}, {{}, {}, [&](const http_result& result) {
                                          ended = result;
                                          loop.Stop();
                                        }});
    loop.RunFor(kTestLimit);
    REQUIRE(ended.has_value());
    return *ended;
  }

  event_loop loop;
  http_server server;
  http_client client;
};

TEST_CASE("a request reaches the handler whole and its answer comes back",
          "[http]") {
  http_pair pair([](const http_exchange_ptr& exchange) {
    const http_request& request = exchange->request();
    exchange->Reply({201,
                     {{"X-Seen", request.method + " " + request.target}},
                     request.body});
  });
  const http_result result =
      pair.Call({"POST", "/a?b=c", {{"X-Id", "1"}}, "payload"});
  CHECK(result.Ok());
  CHECK(result.response.status == 201);
  CHECK(result.response.headers.Get("x-seen") == "POST /a?b=c");
  CHECK(result.response.body == "payload");
}

TEST_CASE("an aborted stream is reported as broken, not as complete",
          "[http]") {
  http_pair pair([](const http_exchange_ptr& exchange) {
    exchange->Start(200, {});
    exchange->Write("half");
    exchange->Abort();
  });
  const http_result result = pair.Call({});
  CHECK(result.outcome != http_outcome::kComplete);
  CHECK(result.may_have_been_sent);
}

TEST_CASE("a refused connection is reported as not sent", "[http]") {
  http_pair pair([](const http_exchange_ptr&) {});
  pair.server.StopAccepting();
  const http_result result = pair.Call({"POST", "/", {}, "x"});
  CHECK(result.outcome == http_outcome::kConnectFailed);
  CHECK_FALSE(result.may_have_been_sent);
}

TEST_CASE("a request is never repeated after the peer closes on it",
          "[http][at-most-once]") {
  int seen = 0;
  http_pair pair([&](const http_exchange_ptr& exchange) {
    ++seen;
    if (exchange->request().target == "/first") {
      exchange->Reply({200, {}, "ok"});
      return;
    }
    exchange->Abort();
  });
  SECTION("on a new connection") {
    CHECK_FALSE(pair.Call({"POST", "/second", {}, "x"}).Ok());
    CHECK(seen == 1);
  }
  SECTION("on a kept connection") {
    CHECK(pair.Call({"POST", "/first", {}, "x"}).Ok());
    CHECK_FALSE(pair.Call({"POST", "/second", {}, "x"}).Ok());
    CHECK(seen == 2);
  }
}

TEST_CASE("replacing the handle of an ended call leaves the new call alone",
          "[http]") {
  constexpr int kCalls = 20;
  event_loop loop;
  http_server server(loop, kAnyPort, {}, [](const http_exchange_ptr& exchange) {
    exchange->Reply({200, {}, ""});
  });
  http_client client(loop);
  http_call_ptr call;
  int done = 0;
  for (int number = 0; number < kCalls; ++number) {
    // The old handle is destroyed after the new call has been made.
    call = client.Send(server.address(), {}, {},
                       {{}, {}, [&](const http_result& result) {
                          done += result.Ok() ? 1 : 0;
                          loop.Stop();
                        }});
    loop.RunFor(kTestLimit / kCalls);
  }
  CHECK(done == kCalls);
}

TEST_CASE("a callback that cancels its own call may go on using what it holds",
          "[http]") {
  event_loop loop;
  http_server server(loop, kAnyPort, {}, [](const http_exchange_ptr& exchange) {
    exchange->Reply({200, {}, "x"});
  });
  http_client client(loop);
  http_call_ptr call;
  bool done = false;
  std::string seen;
  call = client.Send(server.address(), {}, {},
                     {{},
                      [&, held = std::string(100, 'h')](std::string_view data) {
                        call.reset();
                        seen = held + std::string(data);
                        loop.Stop();
                      },
                      [&](const http_result&) { done = true; }});
  loop.RunFor(kTestLimit);
  CHECK(seen == std::string(100, 'h') + "x");
  CHECK_FALSE(done);
}

TEST_CASE("the server learns that a peer has gone while it answers", "[http]") {
  bool gone = false;
  http_exchange_ptr kept;
  event_loop loop;
  http_server server(loop, kAnyPort, {},
                     [&](const http_exchange_ptr& exchange) {
                       kept = exchange;
                       exchange->OnPeerGone([&] {
                         gone = true;
                         loop.Stop();
                       });
                       exchange->Start(200, {});
                       exchange->Write("x");
                     });
  http_client client(loop);
  http_call_ptr call;
  call = client.Send(server.address(), {}, {},
                     {{}, [&](std::string_view) { call.reset(); }, {}});
  loop.RunFor(kTestLimit);
  CHECK(gone);
  CHECK(kept->closed());
  kept->Write("ignored");
  kept->End();
}

TEST_CASE("connections are numbered in the order of acceptance", "[http]") {
  std::vector<uint64_t> numbers;
  http_pair pair([&](const http_exchange_ptr& exchange) {
    numbers.push_back(exchange->connection_number());
    exchange->Reply({200, {}, "ok"});
  });
  CHECK(pair.Call({}).Ok());
  CHECK(pair.Call({}).Ok());
  pair.client.DropIdle(pair.server.address());
  CHECK(pair.Call({}).Ok());
  CHECK(numbers == std::vector<uint64_t>{1, 1, 2});
  CHECK(pair.server.connections_accepted() == 2);
}

TEST_CASE("the server learns that a peer has gone before it answers",
          "[http]") {
  bool gone = false;
  http_exchange_ptr kept;
  event_loop loop;
  http_server server(loop, kAnyPort, {},
                     [&](const http_exchange_ptr& exchange) {
                       kept = exchange;
                       exchange->OnPeerGone([&] {
                         gone = true;
                         loop.Stop();
                       });
                     });
  http_client client(loop);
  const std::string method = GENERATE("GET", "POST");
  http_call_ptr call =
      client.Send(server.address(), {method, "/", {}, "body"}, {}, {});
  const auto wait = loop.Every(milliseconds(1), [&] {
    if (kept != nullptr) {
      call.reset();
    }
  });
  loop.RunFor(kTestLimit);
  CHECK(gone);
  CHECK(kept->closed());
}

TEST_CASE("a request sent before the answer to the one before is answered next",
          "[http]") {
  event_loop loop;
  std::vector<std::string> seen;
  event_loop::handle_ptr later;
  http_server server(loop, kAnyPort, {},
                     [&](const http_exchange_ptr& exchange) {
                       seen.push_back(exchange->request().body);
                       later = loop.After(milliseconds(20), [exchange] {
                         exchange->Reply({200, {}, "ok"});
                       });
                     });
  const int raw = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(server.address().port);
  REQUIRE(connect(raw, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0);
  const std::string two =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1"
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n2";
  REQUIRE(send(raw, two.data(), two.size(), 0) ==
          static_cast<ssize_t>(two.size()));
  std::string answers;
  const auto readable = loop.OnReadable(raw, [&] {
    std::array<char, 4096> chunk{};
    const ssize_t size = recv(raw, chunk.data(), chunk.size(), 0);
    answers.append(chunk.data(),
                   static_cast<size_t>(std::max<ssize_t>(size, 0)));
    const size_t first = answers.find("HTTP/1.1 200");
    if (size <= 0 ||
        answers.find("HTTP/1.1 200", first + 1) != std::string::npos) {
      loop.Stop();
    }
  });
  loop.RunFor(kTestLimit);
  close(raw);
  CHECK(seen == std::vector<std::string>{"1", "2"});
  CHECK(answers.ends_with("ok"));
}

TEST_CASE("an exchange may outlive its server", "[http]") {
  http_exchange_ptr kept;
  event_loop loop;
  {
    http_server server(loop, kAnyPort, {},
                       [&](const http_exchange_ptr& exchange) {
                         kept = exchange;
                         loop.Stop();
                       });
    http_client client(loop);
    const http_call_ptr call =
        client.Send(server.address(), {"POST", "/", {}, "body"}, {}, {});
    loop.RunFor(kTestLimit);
    REQUIRE(kept != nullptr);
    CHECK_FALSE(kept->closed());
  }
  CHECK(kept->closed());
  kept->Reply({200, {}, "ignored"});
  CHECK(kept->request().body == "body");
}

TEST_CASE("a peer that takes no connection is given up as not sent to",
          "[http][timeout]") {
  // A listener whose backlog is full drops further connection attempts.
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* plain = reinterpret_cast<sockaddr*>(&address);
  REQUIRE(bind(listener, plain, size) == 0);
  REQUIRE(listen(listener, 0) == 0);
  REQUIRE(getsockname(listener, plain, &size) == 0);
  std::vector<int> fillers;
  for (int number = 0; number < 4; ++number) {
    fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    static_cast<void>(connect(fillers.back(), plain, size));
  }
  event_loop loop;
  http_client client(loop);
  http_call_options options;
  options.progress_timeout = milliseconds(600000);
  options.connect_timeout = milliseconds(50);
  std::optional<http_result> ended;
  const http_call_ptr call =
      client.Send({"127.0.0.1", ntohs(address.sin_port)}, {}, options,
                  {{}, {}, [&](const http_result& result) {
                     ended = result;
                     loop.Stop();
                   }});
  loop.RunFor(kTestLimit);
  for (const int filler : fillers) {
    close(filler);
  }
  close(listener);
  REQUIRE(ended.has_value());
  CHECK(ended->outcome == http_outcome::kConnectFailed);
  CHECK_FALSE(ended->may_have_been_sent);
}

TEST_CASE("a call whose answer drips on for ever ends at its total timeout",
          "[http][timeout]") {
  event_loop loop;
  http_exchange_ptr open;
  const http_server server(loop, kAnyPort, {},
                           [&](const http_exchange_ptr& exchange) {
                             open = exchange;
                             exchange->Start(200, {});
                           });
  const auto drip = loop.Every(milliseconds(5), [&] {
    if (open != nullptr) {
      open->Write("x");
    }
  });
  http_client client(loop);
  http_call_options options;
  options.total_timeout = milliseconds(100);
  std::optional<http_result> ended;
  const http_call_ptr call = client.Send(
      server.address(), {}, options, {{}, {}, [&](const http_result& result) {
                                        ended = result;
                                        loop.Stop();
                                      }});
  loop.RunFor(kTestLimit);
  REQUIRE(ended.has_value());
  CHECK(ended->outcome == http_outcome::kTimedOut);
  CHECK(ended->may_have_been_sent);
}

TEST_CASE("a call that breaks closes the idle connections to its peer",
          "[http][timeout]") {
  http_pair pair([](const http_exchange_ptr& exchange) {
    if (exchange->request().target == "/break") {
      exchange->Abort();
      return;
    }
    exchange->Reply({200, {}, ""});
  });
  std::vector<http_call_ptr> calls;
  calls.reserve(2);
  int ended = 0;
  for (int number = 0; number < 2; ++number) {
    calls.push_back(pair.client.Send(pair.server.address(), {}, {},
                                     {{}, {}, [&](const http_result&) {
                                        if (++ended == 2) {
                                          pair.loop.Stop();
                                        }
                                      }}));
  }
  pair.loop.RunFor(kTestLimit);
  REQUIRE(ended == 2);
  http_request breaking;
  breaking.target = "/break";
  CHECK(pair.Call(breaking).outcome != http_outcome::kComplete);
  const uint64_t before = pair.server.connections_accepted();
  CHECK(pair.Call({}).Ok());
  CHECK(pair.server.connections_accepted() == before + 1);
}

TEST_CASE("connections that the server closes leave their descriptors free",
          "[http][close]") {
  http_pair pair([](const http_exchange_ptr& exchange) {
    exchange->Reply({200, {}, exchange->request().target});
  });
  for (int number = 0; number < 10; ++number) {
    const std::string target = "/" + std::to_string(number);
    const http_result result =
        pair.Call({"GET", target, {{"Connection", "close"}}, ""});
    CHECK(result.outcome == http_outcome::kComplete);
    CHECK(result.response.body == target);
  }
}

}  // namespace
}  // namespace skylarkcroft

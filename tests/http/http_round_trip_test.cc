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

}  // namespace
}  // namespace skylarkcroft

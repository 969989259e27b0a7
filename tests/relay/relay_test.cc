#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;

constexpr const char* kFinalChunk = "0\r\n\r\n";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE(
    "A request and its response are forwarded, without the reserved headers",
    "[relay]") {
  fixture relay;
  relay.SetHandler([](const received_request& request) {
    request.write(fixture::Response(request, "done"));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request(
      "/safe/x?y=1", "r1",
      "X-Secret: k\r\nX-Reserved: 1\r\nX-Only: z\r\nX-Workspace: w\r\n"));
  REQUIRE(relay.Await([&] { return Contains(client.received, "done"); }));
  const message_head& head = relay.FirstRequest().head;
  CHECK(head.target == "/safe/x?y=1");
  CHECK(relay.FirstRequest().body == "hi");
  CHECK_FALSE(head.headers.Has("X-Secret"));
  CHECK_FALSE(head.headers.Has("X-Reserved"));
  CHECK_FALSE(head.headers.Has("X-Workspace"));
  CHECK(head.headers.Get("X-Only") != "z");
  CHECK(std::stoi(head.headers.Get("X-Left")) <= 2500);
  CHECK(Contains(client.received, "X-Sig: s"));
}

TEST_CASE("Headers that concern one connection only are not forwarded",
          "[relay][regression]") {
  fixture relay;
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1",
                               "Connection: keep-alive,\tX-Hop\t\r\n"
                               "X-Hop: a\r\n"
                               "Proxy-Authorization: Basic b\r\n"));
  REQUIRE(relay.Await([&] { return relay.RequestCount() == 1; }));
  const http_headers& headers = relay.FirstRequest().head.headers;
  CHECK_FALSE(headers.Has("X-Hop"));
  CHECK_FALSE(headers.Has("Proxy-Authorization"));
}

TEST_CASE("Pipelined requests on one connection are served in order",
          "[relay]") {
  fixture relay;
  relay.SetHandler([](const received_request& request) {
    request.write(fixture::Response(request, request.head.headers.Get("X-Id")));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/safe/", "first") +
              fixture::Request("/safe/", "second"));
  REQUIRE(relay.Await([&] { return Contains(client.received, "second"); }));
  CHECK(client.received.find("first") < client.received.find("second"));
}

TEST_CASE("A request that an upstream declines is retried at another",
          "[relay]") {
  fixture relay;
  bool declined = false;
  relay.SetHandler([&](const received_request& request) {
    if (!declined) {
      declined = true;
      request.write(
          "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    request.write(fixture::Response(request, "done"));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return Contains(client.received, "done"); }));
  CHECK(relay.RequestCount() == 2);
}

TEST_CASE("A request that may have been executed is not retried",
          "[relay][once]") {
  fixture relay;
  relay.SetHandler([](const received_request& request) { request.close(); });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return Contains(client.received, "\r\n\r\n"); }));
  CHECK(Contains(client.received, "HTTP/1.1 502"));
  CHECK(relay.RequestCount() == 1);
}

TEST_CASE(
    "An error status that would wrongly mean not executed is not forwarded",
    "[relay][once]") {
  fixture relay;
  relay.SetHandler([](const received_request& request) {
    request.write("HTTP/1.1 503 Busy\r\nX-Sig: s\r\nContent-Length: 0\r\n\r\n");
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return Contains(client.received, "\r\n\r\n"); }));
  CHECK(Contains(client.received, "HTTP/1.1 502"));
}

TEST_CASE("Responses that do not belong to the request are not forwarded",
          "[relay][garble]") {
  fixture relay;
  const std::string broken = GENERATE(
      as<std::string>{},
      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 3\r\n\r\nbad",
      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\nContent-Encoding: gzip\r\n"
      "Content-Length: 3\r\n\r\nbad",
      "\x01\x02 bad\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Sig: s\r\nContent-Length: 3\r\n\r\nbad");
  relay.SetHandler(
      [&](const received_request& request) { request.write(broken); });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return Contains(client.received, "\r\n\r\n"); }));
  CHECK(Contains(client.received, "HTTP/1.1 502"));
  CHECK_FALSE(Contains(client.received, "bad"));
}

TEST_CASE("A late response to an earlier request is skipped",
          "[relay][garble]") {
  fixture relay;
  relay.SetHandler([](const received_request& request) {
    request.write(
        "HTTP/1.1 200 OK\r\nX-Id: r0\r\nX-Sig: s\r\nContent-Length: 3\r\n\r\n"
        "old");
    request.write(fixture::Response(request, "new"));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return Contains(client.received, "new"); }));
  CHECK_FALSE(Contains(client.received, "old"));
}

TEST_CASE("A connection with bytes after the response is not reused",
          "[relay][garble]") {
  fixture relay;
  relay.SetHandler([](const received_request& request) {
    request.write(fixture::Response(request, "done") +
                  "HTTP/1.1 200 OK\r\n\r\nextra");
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/safe/", "r1") +
              fixture::Request("/safe/", "r2"));
  REQUIRE(relay.Await([&] { return relay.records.size() == 2; }));
  CHECK(relay.first_upstream.connections + relay.second_upstream.connections ==
        2);
  CHECK_FALSE(Contains(client.received, "extra"));
}

TEST_CASE("Stream events are forwarded as they arrive", "[relay][stream]") {
  fixture relay;
  relay.SetHandler([](const received_request& request) {
    request.write(fixture::StreamHead(request) + fixture::EventChunk(1));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/stream/", "r1"));
  REQUIRE(relay.Await([&] { return Contains(client.received, "id: 1"); }));
  relay.FirstRequest().write(fixture::EventChunk(2) + "0\r\n\r\n");
  REQUIRE(relay.Await([&] { return Contains(client.received, "0\r\n\r\n"); }));
  CHECK(Contains(client.received, "id: 2"));
}

TEST_CASE(
    "A broken stream resumes at another upstream after the last complete event",
    "[relay][stream][resume]") {
  fixture relay;
  int requests = 0;
  relay.SetHandler([&](const received_request& request) {
    if (++requests == 1) {
      const std::string half = fixture::EventChunk(2).substr(0, 10);
      request.write(fixture::StreamHead(request) + fixture::EventChunk(1) +
                    half);
      request.close();
      return;
    }
    CHECK(request.head.headers.Get("Last-Event-Id") == "1");
    request.write(fixture::StreamHead(request) + fixture::EventChunk(2) +
                  fixture::EventChunk(3) + "0\r\n\r\n");
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/resume/", "r1"));
  REQUIRE(
      relay.Await([&] { return Contains(client.received, "\r\n0\r\n\r\n"); }));
  std::string ids;
  for (size_t at = client.received.find("id: "); at != std::string::npos;
       at = client.received.find("id: ", at + 1)) {
    ids += client.received[at + 4];
  }
  CHECK(ids == "123");
}

TEST_CASE(
    "A broken stream that is not resumable closes without the final chunk",
    "[relay][stream]") {
  fixture relay;
  relay.SetHandler([](const received_request& request) {
    request.write(fixture::StreamHead(request) + fixture::EventChunk(1));
    request.close();
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/stream/", "r1"));
  REQUIRE(relay.Await([&] { return client.closed; }));
  CHECK(Contains(client.received, "id: 1"));
  CHECK_FALSE(Contains(client.received, "0\r\n\r\n"));
}

TEST_CASE("The upstream connection is closed when the client disconnects",
          "[relay]") {
  fixture relay;
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/stream/", "r1"));
  REQUIRE(relay.Await([&] { return relay.RequestCount() == 1; }));
  client.Disconnect();
  REQUIRE(relay.Await([&] { return *relay.FirstRequest().closed; }));
  CHECK(relay.records.back().reason == "client_left");
}

TEST_CASE(
    "Requests whose clients left while the loop stood still are not sent on",
    "[relay][gone][regression]") {
  fixture relay;
  relay.SetHandler([&](const received_request& request) {
    request.write(fixture::Response(request, "ok"));
  });
  constexpr int kClients = 20;
  for (int i = 0; i < kClients; ++i) {
    const std::string path = i % 2 == 0 ? "/once/" : "/stream/";
    SendAndLeave(relay.server.address(),
                 fixture::Request(path, "r" + std::to_string(i)));
  }
  REQUIRE(relay.Await([&] { return relay.records.size() == kClients; }));
  CHECK(relay.RequestCount() == 0);
  CHECK(relay.records.back().reason == "client_gone");
}

// Guards against forwarding requests whose clients are gone: a reset does not
// show as an end of the stream.
TEST_CASE("Requests of clients that reset their connection are not sent on",
          "[relay][gone][regression]") {
  fixture relay;
  relay.SetHandler([&](const received_request& request) {
    request.write(fixture::Response(request, "ok"));
  });
  relay.OpenIdleConnections();
  const size_t requests_before = relay.RequestCount();
  constexpr int kClients = 20;
  const auto stand_still = relay.loop.After(milliseconds(1), [&] {
    for (int i = 0; i < kClients; ++i) {
      SendAndLeave(relay.server.address(),
                   fixture::Request("/safe/", "r" + std::to_string(i)),
                   leave_by::kReset);
    }
  });
  relay.loop.RunFor(milliseconds(300));
  CHECK(relay.RequestCount() == requests_before);
}

// Guards against forwarding requests whose clients are gone: the failure of the
// first attempt may be processed before the end of the client's stream.
TEST_CASE("A request is not retried once its client has left",
          "[relay][gone][regression]") {
  fixture relay;
  relay.SetHandler([&](const received_request& request) {
    request.write(fixture::Response(request, "ok"));
  });
  relay.OpenIdleConnections();
  const size_t requests_before = relay.RequestCount();
  raw_client leaving(relay.loop, relay.server.address());
  relay.SetHandler([&](const received_request& request) {
    request.close();
    relay.loop.Defer([&] { leaving.Disconnect(); });
  });
  leaving.Send(fixture::Request("/safe/", "r1"));
  REQUIRE(relay.Await([&] { return relay.records.back().request_id == "r1"; }));
  relay.loop.RunFor(milliseconds(100));
  CHECK(relay.RequestCount() == requests_before + 1);
  CHECK(relay.records.back().status == 0);
}

// Guards against requests that reach an upstream after they were cancelled:
// their bytes wait in the socket's send buffer while the link is slow.
TEST_CASE("What was not yet delivered of a cancelled request is discarded",
          "[relay][gone][regression]") {
  event_loop loop;
  const slow_listener upstream;
  upstream_connections connections(loop, connection_parameters{}, SteadyNow,
                                   [] {});
  constexpr size_t kRequestBytes = 1000000;
  const exchange_ptr exchange = connections.Start(
      {"one", upstream.address(), std::string(kRequestBytes, 'x'), nullptr,
       "X-Id", "r1", false},
      {[](const message_head&) {}, [](std::string_view) {},
       [](exchange_result) {}});
  loop.RunFor(milliseconds(50));
  REQUIRE(exchange->sent());
  exchange->Cancel();
  loop.RunFor(milliseconds(20));
  CHECK(upstream.ReadUntilEnd() == ECONNRESET);
}

TEST_CASE("An upstream that sends bytes without end is cut off",
          "[relay][endless][regression]") {
  fixture relay;
  relay.environment.parameters.max_buffered_response = 100000;
  const std::string start =
      GENERATE(as<std::string>{},
               // A body that lasts until the connection is closed.
               "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\n\r\n",
               // One event without end.
               "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\n"
               "Content-Type: text/event-stream\r\n\r\ndata: ",
               // A head without end.
               "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Long: ",
               // No response at all.
               "");
  const size_t piece = GENERATE(size_t{2000}, size_t{60000});
  std::vector<event_loop::handle_ptr> writers;
  relay.SetHandler([&](const received_request& request) {
    request.write(start);
    writers.push_back(relay.loop.Every(milliseconds(2), [=] {
      if (!*request.closed) {
        request.write(std::string(piece, 'x'));
      }
    }));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  CHECK(relay.records.back().total < milliseconds(1500));
  REQUIRE(relay.Await([&] { return Contains(client.received, "\r\n\r\n"); }));
  CHECK(Contains(client.received, "HTTP/1.1 502"));
  REQUIRE(relay.Await([&] { return *relay.FirstRequest().closed; }));
}

// Guards against a crash: an event read in the same loop iteration as the
// client's disconnect was passed to a request that had no attempt any more.
TEST_CASE("Upstream bytes that arrive while the client disconnects are ignored",
          "[relay][regression]") {
  fixture relay;
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/stream/", "r1"));
  REQUIRE(relay.Await([&] { return relay.RequestCount() == 1; }));
  relay.FirstRequest().write(fixture::StreamHead(relay.FirstRequest()));
  for (int i = 1; i < 50; ++i) {
    relay.FirstRequest().write(fixture::EventChunk(i));
  }
  client.Disconnect();
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  CHECK(relay.server.busy() == 0);
}

TEST_CASE("A request that exceeds its route's timeout gets a 504",
          "[relay][timeout]") {
  fixture relay;
  relay.map.routes[1].timeout = milliseconds(150);
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return Contains(client.received, "\r\n\r\n"); }));
  CHECK(Contains(client.received, "HTTP/1.1 504"));
}

// Guards against slow streams that are cut, and against stalled ones that never
// end because a byte comes now and then.
TEST_CASE("A slow stream is whole and a stalled one ends with its time",
          "[relay][stream][timeout]") {
  fixture relay;
  const bool stalled = GENERATE(false, true);
  event_loop::handle_ptr writer;
  int written = 0;
  relay.SetHandler([&](const received_request& request) {
    request.write(fixture::StreamHead(request) + fixture::EventChunk(1));
    written = 1;
    writer = relay.loop.Every(milliseconds(200), [&, request] {
      if (*request.closed) {
        return;
      }
      if (stalled) {
        request.write("1\r\n:\r\n");
        return;
      }
      ++written;
      request.write(fixture::EventChunk(written) +
                    (written == 9 ? kFinalChunk : ""));
    });
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/stream/", "r1"));
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  relay.loop.RunFor(milliseconds(50));
  const bool whole = client.received.ends_with(kFinalChunk);
  CHECK(whole == !stalled);
  CHECK(relay.records.back().reason == (stalled ? "out_of_time" : "answered"));
  CHECK(relay.records.back().total < milliseconds(2800));
}

TEST_CASE("Without an upstream, a request gets a 503 with Retry-After at once",
          "[relay][refusal]") {
  fixture relay;
  relay.balancer.Reset({}, SteadyNow());
  relay.balancer.DropRemoved(SteadyNow() + milliseconds(60000));
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return Contains(client.received, "\r\n\r\n"); }));
  CHECK(Contains(client.received, "HTTP/1.1 503"));
  CHECK(Contains(client.received, "Retry-After: "));
  CHECK(relay.records.back().total < milliseconds(1000));
}

TEST_CASE(
    "A request with ambiguous framing gets a 400 and its connection is closed",
    "[relay][smuggling]") {
  fixture relay;
  raw_client client(relay.loop, relay.server.address());
  client.Send(
      "POST /safe/ HTTP/1.1\r\nHost: shop\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
      fixture::Request("/safe/", "smuggled"));
  REQUIRE(relay.Await([&] { return client.closed; }));
  CHECK(Contains(client.received, "HTTP/1.1 400"));
  CHECK(relay.RequestCount() == 0);
}

TEST_CASE("A body above max_body_bytes gets a 413", "[relay]") {
  fixture relay;
  relay.map.limits.max_body_bytes = 1;
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/safe/", "r1"));
  REQUIRE(relay.Await([&] { return client.closed; }));
  CHECK(Contains(client.received, "HTTP/1.1 413"));
}

TEST_CASE("During shutdown, connections are closed after the response",
          "[relay][leave]") {
  fixture relay;
  relay.since_shutdown = milliseconds(100);
  relay.SetHandler([](const received_request& request) {
    request.write(fixture::Response(request, "done"));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/safe/", "r1"));
  REQUIRE(relay.Await([&] { return client.closed; }));
  CHECK(Contains(client.received, "Connection: close"));
  CHECK(Contains(client.received, "done"));
}

// Guards against requests that are cut off without an answer because they were
// accepted just before a planned stop, or wait unread in their connections.
TEST_CASE("Requests of the moment of a planned stop are answered whole",
          "[relay][leave][load]") {
  constexpr size_t kClients = 80;
  fixture relay;
  std::vector<event_loop::handle_ptr> answers;
  relay.SetHandler([&](const received_request& request) {
    answers.push_back(relay.loop.After(milliseconds(200), [request] {
      request.write(fixture::Response(request, "done"));
    }));
  });
  std::vector<std::unique_ptr<raw_client>> clients;
  for (size_t i = 0; i < kClients; ++i) {
    clients.push_back(
        std::make_unique<raw_client>(relay.loop, relay.server.address()));
    clients.back()->Send(fixture::Request("/once/", "r" + std::to_string(i)));
    if (i == kClients / 2) {
      // Half of them are at work, the rest still come.
      REQUIRE(relay.Await([&] { return relay.RequestCount() > kClients / 4; }));
      relay.since_shutdown = milliseconds(0);
      relay.server.CloseIdle(SteadyNow() + kMaxRequestDelay);
    }
  }
  REQUIRE(relay.Await([&] { return relay.records.size() == kClients; }));
  relay.loop.RunFor(milliseconds(50));
  for (const auto& client : clients) {
    CHECK(Contains(client->received, "HTTP/1.1 200"));
    CHECK(Contains(client->received, "done"));
    CHECK(client->closed_cleanly);
  }
}

TEST_CASE("Late in shutdown, new requests get a 503 and are not sent upstream",
          "[relay][leave]") {
  fixture relay;
  relay.since_shutdown = milliseconds(5000);
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return client.closed; }));
  CHECK(Contains(client.received, "HTTP/1.1 503"));
  CHECK(relay.RequestCount() == 0);
}

}  // namespace skylarkcroft

#include <catch2/catch.hpp>
#include <string>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using arrival = scripted_upstream::arrival;
using fixture = relay_fixture;

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("A request and its answer pass unchanged", "[relay]") {
  fixture relay;
  relay.Answer(
      [](const arrival& to) { to.write(fixture::Answered(to, "done")); });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request(
      "/safe/x?y=1", "r1",
      "X-Secret: k\r\nX-Reserved: 1\r\nX-Only: z\r\nX-Workspace: w\r\n"));
  REQUIRE(relay.Await([&] { return Has(client.received, "done"); }));
  const message_head& head = relay.First().head;
  CHECK(head.target == "/safe/x?y=1");
  CHECK(relay.First().body == "hi");
  CHECK_FALSE(head.headers.Has("X-Secret"));
  CHECK_FALSE(head.headers.Has("X-Reserved"));
  CHECK_FALSE(head.headers.Has("X-Workspace"));
  CHECK(head.headers.Get("X-Only") != "z");
  CHECK(std::stoi(head.headers.Get("X-Left")) <= 2500);
  CHECK(Has(client.received, "X-Sig: s"));
}

TEST_CASE("Requests follow each other on one connection", "[relay]") {
  fixture relay;
  relay.Answer([](const arrival& to) {
    to.write(fixture::Answered(to, to.head.headers.Get("X-Id")));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/safe/", "first") +
              fixture::Request("/safe/", "second"));
  REQUIRE(relay.Await([&] { return Has(client.received, "second"); }));
  CHECK(client.received.find("first") < client.received.find("second"));
}

TEST_CASE("An upstream that declines is followed by another", "[relay]") {
  fixture relay;
  bool declined = false;
  relay.Answer([&](const arrival& to) {
    if (!declined) {
      declined = true;
      to.write(
          "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    to.write(fixture::Answered(to, "done"));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return Has(client.received, "done"); }));
  CHECK(relay.Arrivals() == 2);
}

TEST_CASE("A request that may have run is not sent again", "[relay][once]") {
  fixture relay;
  relay.Answer([](const arrival& to) { to.close(); });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return Has(client.received, "\r\n\r\n"); }));
  CHECK(Has(client.received, "HTTP/1.1 502"));
  CHECK(relay.Arrivals() == 1);
}

TEST_CASE("A failure that would state that nothing ran is not passed on",
          "[relay][once]") {
  fixture relay;
  relay.Answer([](const arrival& to) {
    to.write("HTTP/1.1 503 Busy\r\nX-Sig: s\r\nContent-Length: 0\r\n\r\n");
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return Has(client.received, "\r\n\r\n"); }));
  CHECK(Has(client.received, "HTTP/1.1 502"));
}

TEST_CASE("Answers that are not this request's own are not passed on",
          "[relay][garble]") {
  fixture relay;
  const std::string broken = GENERATE(
      as<std::string>{},
      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 3\r\n\r\nbad",
      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\nContent-Encoding: gzip\r\n"
      "Content-Length: 3\r\n\r\nbad",
      "\x01\x02 bad\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Sig: s\r\nContent-Length: 3\r\n\r\nbad");
  relay.Answer([&](const arrival& to) { to.write(broken); });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return Has(client.received, "\r\n\r\n"); }));
  CHECK(Has(client.received, "HTTP/1.1 502"));
  CHECK_FALSE(Has(client.received, "bad"));
}

TEST_CASE("A late answer to an earlier request is passed over",
          "[relay][garble]") {
  fixture relay;
  relay.Answer([](const arrival& to) {
    to.write(
        "HTTP/1.1 200 OK\r\nX-Id: r0\r\nX-Sig: s\r\nContent-Length: 3\r\n\r\n"
        "old");
    to.write(fixture::Answered(to, "new"));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return Has(client.received, "new"); }));
  CHECK_FALSE(Has(client.received, "old"));
}

TEST_CASE("Bytes after an answer end the connection's use", "[relay][garble]") {
  fixture relay;
  relay.Answer([](const arrival& to) {
    to.write(fixture::Answered(to, "done") + "HTTP/1.1 200 OK\r\n\r\nextra");
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/safe/", "r1") +
              fixture::Request("/safe/", "r2"));
  REQUIRE(relay.Await([&] { return relay.records.size() == 2; }));
  CHECK(relay.one.connections + relay.two.connections == 2);
  CHECK_FALSE(Has(client.received, "extra"));
}

TEST_CASE("Events are passed on as they come", "[relay][stream]") {
  fixture relay;
  relay.Answer([](const arrival& to) {
    to.write(fixture::StreamHead(to) + fixture::Event(1));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/stream/", "r1"));
  REQUIRE(relay.Await([&] { return Has(client.received, "id: 1"); }));
  relay.First().write(fixture::Event(2) + "0\r\n\r\n");
  REQUIRE(relay.Await([&] { return Has(client.received, "0\r\n\r\n"); }));
  CHECK(Has(client.received, "id: 2"));
}

TEST_CASE("A stream goes on at another upstream after the last whole event",
          "[relay][stream][resume]") {
  fixture relay;
  int arrivals = 0;
  relay.Answer([&](const arrival& to) {
    if (++arrivals == 1) {
      const std::string half = fixture::Event(2).substr(0, 10);
      to.write(fixture::StreamHead(to) + fixture::Event(1) + half);
      to.close();
      return;
    }
    CHECK(to.head.headers.Get("Last-Event-Id") == "1");
    to.write(fixture::StreamHead(to) + fixture::Event(2) + fixture::Event(3) +
             "0\r\n\r\n");
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/resume/", "r1"));
  REQUIRE(relay.Await([&] { return Has(client.received, "\r\n0\r\n\r\n"); }));
  std::string ids;
  for (size_t at = client.received.find("id: "); at != std::string::npos;
       at = client.received.find("id: ", at + 1)) {
    ids += client.received[at + 4];
  }
  CHECK(ids == "123");
}

TEST_CASE("A stream that cannot go on does not end as whole",
          "[relay][stream]") {
  fixture relay;
  relay.Answer([](const arrival& to) {
    to.write(fixture::StreamHead(to) + fixture::Event(1));
    to.close();
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/stream/", "r1"));
  REQUIRE(relay.Await([&] { return client.closed; }));
  CHECK(Has(client.received, "id: 1"));
  CHECK_FALSE(Has(client.received, "0\r\n\r\n"));
}

TEST_CASE("The work upstream ends when the client leaves", "[relay]") {
  fixture relay;
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/stream/", "r1"));
  REQUIRE(relay.Await([&] { return relay.Arrivals() == 1; }));
  client.Leave();
  REQUIRE(relay.Await([&] { return *relay.First().closed; }));
  CHECK(relay.records.back().reason == "client_left");
}

// An event that came in the same turn of the loop as the client's end reached
// a request without an attempt and ended the process.
TEST_CASE("Bytes that come as the client leaves do no harm",
          "[relay][regression]") {
  fixture relay;
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/stream/", "r1"));
  REQUIRE(relay.Await([&] { return relay.Arrivals() == 1; }));
  relay.First().write(fixture::StreamHead(relay.First()));
  for (int i = 1; i < 50; ++i) {
    relay.First().write(fixture::Event(i));
  }
  client.Leave();
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  CHECK(relay.server.busy() == 0);
}

TEST_CASE("A route's time limit ends a request with a final answer",
          "[relay][timeout]") {
  fixture relay;
  relay.map.routes[1].timeout = milliseconds(150);
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return Has(client.received, "\r\n\r\n"); }));
  CHECK(Has(client.received, "HTTP/1.1 504"));
}

TEST_CASE("Without an upstream a request is refused at once as not run",
          "[relay][refusal]") {
  fixture relay;
  relay.board.Reset({}, SteadyNow());
  relay.board.DropLapsed(SteadyNow() + milliseconds(60000));
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return Has(client.received, "\r\n\r\n"); }));
  CHECK(Has(client.received, "HTTP/1.1 503"));
  CHECK(Has(client.received, "Retry-After: "));
  CHECK(relay.records.back().total < milliseconds(1000));
}

TEST_CASE("An ambiguous request is rejected and its connection closed",
          "[relay][smuggling]") {
  fixture relay;
  raw_client client(relay.loop, relay.server.address());
  client.Send(
      "POST /safe/ HTTP/1.1\r\nHost: shop\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
      fixture::Request("/safe/", "smuggled"));
  REQUIRE(relay.Await([&] { return client.closed; }));
  CHECK(Has(client.received, "HTTP/1.1 400"));
  CHECK(relay.Arrivals() == 0);
}

TEST_CASE("A body beyond the bound is rejected", "[relay]") {
  fixture relay;
  relay.map.limits.max_body_bytes = 1;
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/safe/", "r1"));
  REQUIRE(relay.Await([&] { return client.closed; }));
  CHECK(Has(client.received, "HTTP/1.1 413"));
}

TEST_CASE("While leaving, answers close their connections", "[relay][leave]") {
  fixture relay;
  relay.leaving = milliseconds(100);
  relay.Answer(
      [](const arrival& to) { to.write(fixture::Answered(to, "done")); });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/safe/", "r1"));
  REQUIRE(relay.Await([&] { return client.closed; }));
  CHECK(Has(client.received, "Connection: close"));
  CHECK(Has(client.received, "done"));
}

TEST_CASE("Late in leaving, requests are refused as not run",
          "[relay][leave]") {
  fixture relay;
  relay.leaving = milliseconds(5000);
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return client.closed; }));
  CHECK(Has(client.received, "HTTP/1.1 503"));
  CHECK(relay.Arrivals() == 0);
}

}  // namespace skylarkcroft

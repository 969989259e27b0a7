#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>

#include "tests/relay/answer_ends.h"
#include "tests/relay/relay_fixture.h"

// One test a row of the table in docs/answer-ends.md.

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;

constexpr const char* kFinalChunk = "0\r\n\r\n";
// Longer than the system takes to close the files of a process that has ended.
constexpr milliseconds kListenerClosesAfter{60};

/// One request whose upstream writes `text` and ends its connection.
class broken_answer {
 public:
  void Write(const received_request& request, const std::string& text,
             closing how) {
    request.write(text);
    // A reset discards what has not been read yet.
    later_ = relay.loop.After(milliseconds(30), how == closing::kReset
                                                    ? request.reset
                                                    : request.close);
  }
  client_view Ask(client_kind kind, const std::string& path) {
    client = std::make_unique<raw_client>(relay.loop, relay.server.address());
    client->Send(RequestOf(kind, path));
    REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
    relay.loop.RunFor(milliseconds(150));
    return ViewOf(kind, *client);
  }

  /// Sets how the upstreams handle requests, where it matters which one does.
  void SetHandlerOfEach(
      const std::function<void(scripted_upstream& upstream,
                               const received_request& request)>& handle) {
    for (scripted_upstream* upstream :
         {&relay.first_upstream, &relay.second_upstream}) {
      upstream->SetHandler([upstream, handle](const received_request& request) {
        handle(*upstream, request);
      });
    }
  }
  /// As Write(), and the upstream's process ends with the connection.
  void WriteAndEnd(scripted_upstream& upstream, const received_request& request,
                   const std::string& text) {
    request.write(text);
    later_ = relay.loop.After(milliseconds(30), [&upstream, request] {
      upstream.StopListening();
      request.close();
    });
  }
  /// As WriteAndEnd(), but the process's listening socket is closed last: until
  /// then connections are still accepted and reset.
  void WriteAndCrash(scripted_upstream& upstream,
                     const received_request& request, const std::string& text) {
    WriteAtConnectionLimit(upstream, request, text);
    listener_closes_ =
        relay.loop.After(milliseconds(30) + kListenerClosesAfter,
                         [&upstream] { upstream.StopListening(); });
  }
  /// As Write(), and the upstream goes on but resets each further connection.
  void WriteAtConnectionLimit(scripted_upstream& upstream,
                              const received_request& request,
                              const std::string& text) {
    request.write(text);
    later_ = relay.loop.After(milliseconds(30), [&upstream, request] {
      upstream.ResetFurtherConnections();
      request.close();
    });
  }

  fixture relay;
  std::unique_ptr<raw_client> client;

 private:
  event_loop::handle_ptr later_;
  event_loop::handle_ptr listener_closes_;
};

client_kind AnyClient() {
  return GENERATE(client_kind::kKeepsOpen, client_kind::kCloses,
                  client_kind::kHttp10);
}

framing AnyFraming() {
  return GENERATE(framing::kLength, framing::kChunked, framing::kConnection);
}

closing AnyClosing() { return GENERATE(closing::kOrderly, closing::kReset); }

}  // namespace

TEST_CASE("A whole stream is whole for each kind of client",
          "[relay][answer_end]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  const framing delimited_by = AnyFraming();
  run.relay.SetHandler([&](const received_request& request) {
    run.Write(request, AnswerUntil(request, delimited_by, stop::kAtEnd),
              closing::kOrderly);
  });
  CHECK(run.Ask(kind, "/stream/") == client_view::kWhole);
  CHECK_THAT(run.client->received, Contains("id: 1") && Contains("id: 3"));
}

// Guards against a broken stream that reaches the client as a complete one.
TEST_CASE("A stream that is broken off is broken for each kind of client",
          "[relay][answer_end][regression]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  const framing delimited_by = AnyFraming();
  const closing how = AnyClosing();
  const stop at = GENERATE(stop::kInEvent, stop::kBetweenEvents);
  const bool looks_whole = delimited_by == framing::kConnection &&
                           at == stop::kBetweenEvents &&
                           how == closing::kOrderly;
  run.relay.SetHandler([&](const received_request& request) {
    run.Write(request, AnswerUntil(request, delimited_by, at), how);
  });
  // Its bytes are those of a whole stream of two events, and its upstream goes
  // on.
  CHECK(run.Ask(kind, "/stream/") ==
        (looks_whole ? client_view::kWhole : client_view::kBroken));
  CHECK_THAT(run.client->received, Contains("id: 1") && !Contains("id: 3"));
}

// Guards against a broken stream that reaches the client as a complete one
// where its upstream's process has ended between two events.
TEST_CASE("A stream that ends with its upstream's process is broken off",
          "[relay][answer_end][ended_process][regression]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  run.SetHandlerOfEach(
      [&](scripted_upstream& upstream, const received_request& request) {
        run.WriteAndEnd(
            upstream, request,
            AnswerUntil(request, framing::kConnection, stop::kBetweenEvents));
      });
  CHECK(run.Ask(kind, "/stream/") == client_view::kBroken);
  CHECK_THAT(run.client->received, Contains("id: 2"));
  REQUIRE_FALSE(run.relay.failed_attempts.empty());
  CHECK(run.relay.failed_attempts.back().upstream_ended);
}

// Guards against a broken stream that reaches the client as a complete one
// where its upstream's process still accepts a connection while it ends.
TEST_CASE("A stream whose upstream accepts and resets is broken off",
          "[relay][answer_end][ended_process][regression]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  run.SetHandlerOfEach(
      [&](scripted_upstream& upstream, const received_request& request) {
        run.WriteAndCrash(
            upstream, request,
            AnswerUntil(request, framing::kConnection, stop::kBetweenEvents));
      });
  CHECK(run.Ask(kind, "/stream/") == client_view::kBroken);
  CHECK_THAT(run.client->received, Contains("id: 2"));
}

// Guards against a short body that reaches the client as a complete one where
// its upstream's process still accepts a connection while it ends.
TEST_CASE("A body whose upstream accepts and resets is an error",
          "[relay][answer_end][ended_process][regression]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  run.SetHandlerOfEach(
      [&](scripted_upstream& upstream, const received_request& request) {
        run.WriteAndCrash(upstream, request,
                          "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\n\r\nwho");
      });
  CHECK(run.Ask(kind, "/once/") == client_view::kError);
}

// Guards against whole answers that are called broken because their upstream
// resets connections beyond its limit, also where nothing else arrives from it.
TEST_CASE("An answer is whole if its upstream resets connections and goes on",
          "[relay][answer_end][connection_limit][regression]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  const bool has_other_answers = GENERATE(true, false);
  const bool is_stream = GENERATE(true, false);
  event_loop::handle_ptr other_bytes;
  run.SetHandlerOfEach(
      [&](scripted_upstream& upstream, const received_request& request) {
        const std::string id =
            &upstream == &run.relay.first_upstream ? "one" : "two";
        if (has_other_answers) {
          other_bytes = run.relay.loop.Every(milliseconds(10), [&run, id] {
            run.relay.balancer.RecordByte(id, SteadyNow());
          });
        }
        run.WriteAtConnectionLimit(
            upstream, request,
            is_stream ? AnswerUntil(request, framing::kConnection, stop::kAtEnd)
                      : "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\n\r\nwhole");
      });
  CHECK(run.Ask(kind, is_stream ? "/stream/" : "/once/") ==
        client_view::kWhole);
  CHECK(run.relay.RequestCount() == 1);
  REQUIRE(run.relay.records.size() == 1);
  CHECK(run.relay.records.front().end_shown_by ==
        (has_other_answers ? "byte" : "dropped"));
}

TEST_CASE("A stream that ended with its upstream's process is resumed",
          "[relay][answer_end][ended_process][resume]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  run.SetHandlerOfEach(
      [&](scripted_upstream& upstream, const received_request& request) {
        if (request.head.headers.Has("Last-Event-Id")) {
          run.Write(request,
                    AnswerUntil(request, framing::kConnection, stop::kAtEnd, 3),
                    closing::kOrderly);
          return;
        }
        run.WriteAndEnd(
            upstream, request,
            AnswerUntil(request, framing::kConnection, stop::kBetweenEvents));
      });
  CHECK(run.Ask(kind, "/resume/") == client_view::kWhole);
  CHECK_THAT(run.client->received, Contains("id: 2") && Contains("id: 3"));
  CHECK(run.relay.RequestCount() == 2);
}

// Guards against a short body that reaches the client as a complete one.
TEST_CASE("A body that ends with its upstream's process is an error",
          "[relay][answer_end][ended_process][regression]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  run.SetHandlerOfEach(
      [&](scripted_upstream& upstream, const received_request& request) {
        run.WriteAndEnd(upstream, request,
                        "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\n\r\nwho");
      });
  CHECK(run.Ask(kind, "/once/") == client_view::kError);
}

// Guards against a short body that reaches the client as a complete one because
// the relay stops before it is known that the upstream has ended.
TEST_CASE("A stop of the relay does not complete an answer in doubt",
          "[relay][answer_end][ended_process][planned_stop][regression]") {
  broken_answer run;
  fixture& relay = run.relay;
  relay.environment.parameters.life_sign_wait = milliseconds(5000);
  run.SetHandlerOfEach(
      [&](scripted_upstream& upstream, const received_request& request) {
        run.WriteAndEnd(upstream, request,
                        "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\n\r\nwho");
      });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return relay.RequestCount() == 1; }));
  relay.loop.RunFor(milliseconds(200));
  REQUIRE(relay.records.empty());
  relay.server.AbortAll();
  REQUIRE(relay.Await([&] { return !client.received.empty(); }));
  CHECK_THAT(client.received, StartsWith("HTTP/1.1 502 "));
}

// Guards against whole answers that are called broken because their upstream
// has no room for a further connection, or exits after its last answer.
TEST_CASE("A refused connection alone does not break an answer off",
          "[relay][answer_end][ended_process]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  const bool leaves = GENERATE(true, false);
  event_loop::handle_ptr other_bytes;
  run.SetHandlerOfEach([&](scripted_upstream& upstream,
                           const received_request& request) {
    const std::string id =
        &upstream == &run.relay.first_upstream ? "one" : "two";
    if (leaves) {
      run.relay.balancer.RecordLeaving(fixture::Entry(id, upstream),
                                       SteadyNow(), SteadyNow());
    } else {
      // The other answers of the upstream go on.
      other_bytes = run.relay.loop.Every(milliseconds(10), [&run, id] {
        run.relay.balancer.RecordByte(id, SteadyNow());
      });
    }
    run.WriteAndEnd(upstream, request,
                    AnswerUntil(request, framing::kConnection, stop::kAtEnd));
  });
  CHECK(run.Ask(kind, "/stream/") == client_view::kWhole);
  CHECK(run.relay.RequestCount() == 1);
}

// Guards against a broken stream that reaches the client as a complete one
// where its upstream was reclaimed at the time that it had stated.
TEST_CASE("A stream that ends at its upstream's stated exit is broken off",
          "[relay][answer_end][ended_process][leaving][regression]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  const bool removed = GENERATE(false, true);
  run.SetHandlerOfEach(
      [&](scripted_upstream& upstream, const received_request& request) {
        const std::string id =
            &upstream == &run.relay.first_upstream ? "one" : "two";
        const upstream_entry entry = fixture::Entry(id, upstream);
        run.relay.balancer.RecordLeaving(entry, SteadyNow(), SteadyNow());
        run.relay.balancer.RecordExit(entry, SteadyNow() + milliseconds(20),
                                      SteadyNow());
        if (removed) {
          run.relay.balancer.Remove(id, SteadyNow());
        }
        run.WriteAndEnd(
            upstream, request,
            AnswerUntil(request, framing::kConnection, stop::kBetweenEvents));
      });
  CHECK(run.Ask(kind, "/stream/") == client_view::kBroken);
}

TEST_CASE("A whole stream before its upstream's stated exit is whole",
          "[relay][answer_end][ended_process][leaving]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  run.SetHandlerOfEach([&](scripted_upstream& upstream,
                           const received_request& request) {
    const std::string id =
        &upstream == &run.relay.first_upstream ? "one" : "two";
    const upstream_entry entry = fixture::Entry(id, upstream);
    run.relay.balancer.RecordLeaving(entry, SteadyNow(), SteadyNow());
    run.relay.balancer.RecordExit(entry, SteadyNow() + milliseconds(5000),
                                  SteadyNow());
    run.WriteAndEnd(upstream, request,
                    AnswerUntil(request, framing::kConnection, stop::kAtEnd));
  });
  CHECK(run.Ask(kind, "/stream/") == client_view::kWhole);
  CHECK(run.relay.RequestCount() == 1);
}

// Guards against a 200 with an empty body where an upstream closed within its
// answer's head, or before the first event.
TEST_CASE("A stream without an event is an error for each kind of client",
          "[relay][answer_end][regression]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  const framing delimited_by = AnyFraming();
  const closing how = AnyClosing();
  const stop at = GENERATE(stop::kInHead, stop::kAfterHead);
  run.relay.SetHandler([&](const received_request& request) {
    run.Write(request, AnswerUntil(request, delimited_by, at), how);
  });
  CHECK(run.Ask(kind, "/stream/") == client_view::kError);
}

TEST_CASE("A stream resumed to its end is whole for each kind of client",
          "[relay][answer_end][resume]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  const framing delimited_by = AnyFraming();
  run.relay.SetHandler([&](const received_request& request) {
    const bool resumed = request.head.headers.Has("Last-Event-Id");
    run.Write(request,
              AnswerUntil(request, resumed ? delimited_by : framing::kChunked,
                          resumed ? stop::kAtEnd : stop::kBetweenEvents,
                          resumed ? 3 : 1),
              resumed ? closing::kOrderly : closing::kReset);
  });
  CHECK(run.Ask(kind, "/resume/") == client_view::kWhole);
  CHECK_THAT(run.client->received,
             Contains("id: 1") && Contains("id: 2") && Contains("id: 3"));
  CHECK(run.relay.RequestCount() == 2);
}

// Guards against a resumed stream that breaks off again and looks complete.
TEST_CASE("A resumed stream that is broken off is broken for each client",
          "[relay][answer_end][resume][regression]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  const framing delimited_by = AnyFraming();
  const closing how = AnyClosing();
  const stop at = GENERATE(stop::kInHead, stop::kAfterHead, stop::kInEvent);
  run.relay.SetHandler([&](const received_request& request) {
    const bool resumed = request.head.headers.Has("Last-Event-Id");
    run.Write(request,
              AnswerUntil(request, resumed ? delimited_by : framing::kChunked,
                          resumed ? at : stop::kBetweenEvents, resumed ? 3 : 1),
              resumed ? how : closing::kReset);
  });
  CHECK(run.Ask(kind, "/resume/") == client_view::kBroken);
}

// Guards against an error's head and text in the middle of a client's stream.
TEST_CASE("An error after output breaks the stream for each kind of client",
          "[relay][answer_end][resume][regression]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  const std::string status = GENERATE(
      "302 Found", "400 Bad Request", "404 Not Found", "421 Misdirected",
      "429 Too Many Requests", "500 Internal Server Error",
      "503 Service Unavailable", "200 OK");
  const bool delimited = GENERATE(true, false);
  run.relay.SetHandler([&](const received_request& request) {
    if (!request.head.headers.Has("Last-Event-Id")) {
      run.Write(request,
                AnswerUntil(request, framing::kChunked, stop::kBetweenEvents),
                closing::kReset);
      return;
    }
    run.Write(request,
              "HTTP/1.1 " + status + "\r\nX-Id: r1\r\nX-Sig: s\r\n" +
                  (delimited ? "Content-Length: 7\r\n" : "") + "\r\nno luck",
              closing::kOrderly);
  });
  CHECK(run.Ask(kind, "/resume/") == client_view::kBroken);
  CHECK_THAT(run.client->received, Contains("id: 2") && !Contains("no luck"));
  CHECK(run.client->received.find("HTTP/1.1", 1) == std::string::npos);
}

// Guards against a stream in which an event is missing.
TEST_CASE("A stream that goes on after a gap is broken",
          "[relay][answer_end][resume][regression]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  run.relay.SetHandler([&](const received_request& request) {
    const bool resumed = request.head.headers.Has("Last-Event-Id");
    run.Write(
        request,
        resumed ? fixture::StreamHead(request) + fixture::EventChunk(4) +
                      kFinalChunk
                : AnswerUntil(request, framing::kChunked, stop::kBetweenEvents),
        resumed ? closing::kOrderly : closing::kReset);
  });
  CHECK(run.Ask(kind, "/resume/") == client_view::kBroken);
  CHECK_THAT(run.client->received, !Contains("id: 4"));
}

TEST_CASE("A body that is no stream is whole or an error for each client",
          "[relay][answer_end]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  const framing delimited_by = AnyFraming();
  const closing how = AnyClosing();
  const stop at = GENERATE(stop::kInHead, stop::kInEvent, stop::kAtEnd);
  run.relay.SetHandler([&](const received_request& request) {
    std::string text = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\n";
    if (delimited_by == framing::kLength) {
      text += "Content-Length: 5\r\n\r\nwhole";
    } else if (delimited_by == framing::kChunked) {
      text += "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    } else {
      text += "\r\nwhole";
    }
    const size_t lost = delimited_by == framing::kChunked ? 8 : 2;
    const size_t kept = at == stop::kInHead    ? text.find("\r\n\r\n") + 2
                        : at == stop::kInEvent ? text.size() - lost
                                               : text.size();
    run.Write(request, text.substr(0, kept), how);
  });
  const bool delimited = delimited_by != framing::kConnection;
  const bool whole = delimited
                         ? at == stop::kAtEnd
                         : at != stop::kInHead && how == closing::kOrderly;
  const client_view seen = run.Ask(kind, "/once/");
  CHECK(seen == (whole ? client_view::kWhole : client_view::kError));
}

// Guards against a 200 with an empty body where an upstream closed right after
// its answer's head.
TEST_CASE("An empty body that ends with its connection is an error",
          "[relay][answer_end][regression]") {
  broken_answer run;
  const client_kind kind = AnyClient();
  const closing how = AnyClosing();
  run.relay.SetHandler([&](const received_request& request) {
    run.Write(request, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\n\r\n", how);
  });
  CHECK(run.Ask(kind, "/once/") == client_view::kError);
}

}  // namespace skylarkcroft

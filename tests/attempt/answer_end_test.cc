#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "skylarkcroft/attempt/skylarkcroft_attempt.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/relay/scripted_upstream.h"

// The node's half of the table in docs/answer-ends.md.

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;

enum class framing { kLength, kChunked, kConnection };
enum class stop { kInHead, kAfterHead, kInEvent, kBetweenEvents, kAtEnd };
enum class closing { kOrderly, kReset };

std::string Chunk(const std::string& text) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string size;
  for (size_t left = text.size(); left > 0; left /= 16) {
    size.insert(size.begin(), kDigits[left % 16]);
  }
  return size + "\r\n" + text + "\r\n";
}

/// An answer of `blocks`, as far as it is written.
std::string AnswerUntil(const std::vector<std::string>& blocks,
                        framing delimited_by, stop at) {
  std::string whole;
  std::string before_last;
  std::string half;
  for (const std::string& block : blocks) {
    const std::string text =
        delimited_by == framing::kChunked ? Chunk(block) : block;
    half = whole + text.substr(0, text.size() / 2);
    before_last = whole;
    whole += text;
  }
  std::string head = "HTTP/1.1 200 OK\r\n";
  if (delimited_by == framing::kChunked) {
    head += "Transfer-Encoding: chunked\r\n";
    whole += "0\r\n\r\n";
  } else if (delimited_by == framing::kLength) {
    head += "Content-Length: " + std::to_string(whole.size()) + "\r\n";
  }
  switch (at) {
    case stop::kInHead:
      return head;
    case stop::kAfterHead:
      return head + "\r\n";
    case stop::kInEvent:
      return head + "\r\n" + half;
    case stop::kBetweenEvents:
      return head + "\r\n" + before_last;
    case stop::kAtEnd:
      return head + "\r\n" + whole;
  }
  return head;
}

const std::vector<std::string> kStream = {"id: 1\ndata: {\"id\":\"r1\"}\n\n",
                                          "id: 2\ndata: {\"id\":\"r1\"}\n\n",
                                          "data: [DONE]\n\n"};

/// One attempt whose upstream writes what the test says.
class attempt_bench {
 public:
  void Write(const received_request& request, const std::string& text,
             closing how) {
    request.write(text);
    later_ = loop.After(milliseconds(30),
                        how == closing::kReset ? request.reset : request.close);
  }
  /// As Write(), and the upstream's process ends with the connection.
  void WriteAndEnd(const received_request& request, const std::string& text) {
    request.write(text);
    later_ = loop.After(milliseconds(30), [this, request] {
      upstream.StopListening();
      request.close();
    });
  }
  /// As Write(), and each further connection is reset: for good where the
  /// upstream goes on, or until its listening socket is closed.
  void WriteAndReset(const received_request& request, const std::string& text,
                     bool goes_on) {
    request.write(text);
    later_ = loop.After(milliseconds(30), [this, request] {
      upstream.ResetFurtherConnections();
      request.close();
    });
    if (!goes_on) {
      listener_closes_ =
          loop.After(milliseconds(90), [this] { upstream.StopListening(); });
    }
  }
  void AskEngine() {
    engine_attempt_options options;
    options.address = upstream.address();
    options.request_id = "r1";
    attempt_ = StartEngineAttempt(
        client_, options, {},
        {[this](int64_t, const std::string&) { ++tokens; },
         [](const std::string&) {},
         [this](const attempt_result& result) { ended = result; }});
    Await();
  }
  void AskService(bool reuse = true, const std::string& body = "") {
    service_attempt_options options;
    options.address = upstream.address();
    options.reuse_connection = reuse;
    http_request request;
    request.method = body.empty() ? request.method : "POST";
    request.body = body;
    attempt_ =
        StartServiceAttempt(client_, options, request,
                            [this](const attempt_result& r) { ended = r; });
    Await();
  }

  event_loop loop;
  scripted_upstream upstream{loop};
  std::optional<attempt_result> ended;
  int tokens = 0;

 private:
  void Await() {
    ended.reset();
    for (int i = 0; i < 400 && !ended.has_value(); ++i) {
      loop.RunFor(milliseconds(5));
    }
    REQUIRE(ended.has_value());
    loop.RunFor(milliseconds(5));
  }

  event_loop::handle_ptr later_;
  event_loop::handle_ptr listener_closes_;
  http_client client_{loop};
  attempt_ptr attempt_;
};

framing AnyFraming() {
  return GENERATE(framing::kLength, framing::kChunked, framing::kConnection);
}

closing AnyClosing() { return GENERATE(closing::kOrderly, closing::kReset); }

}  // namespace

TEST_CASE("An engine's stream is complete only with its last event",
          "[attempt][answer_end]") {
  attempt_bench bench;
  const framing delimited_by = AnyFraming();
  const closing how = AnyClosing();
  const stop at = GENERATE(stop::kInHead, stop::kAfterHead, stop::kInEvent,
                           stop::kBetweenEvents, stop::kAtEnd);
  bench.upstream.SetHandler([&](const received_request& request) {
    bench.Write(request, AnswerUntil(kStream, delimited_by, at), how);
  });
  bench.AskEngine();
  const bool whole =
      at == stop::kAtEnd &&
      (how == closing::kOrderly || delimited_by != framing::kConnection);
  CHECK(bench.ended->outcome ==
        (whole ? attempt_outcome::kComplete : attempt_outcome::kBroken));
  CHECK(bench.ended->may_have_run);
}

// Guards against a 200 with an empty or short body where a service closed
// within its answer's head or body.
TEST_CASE("A service's answer that was cut is not complete",
          "[attempt][answer_end][regression]") {
  attempt_bench bench;
  const framing delimited_by = AnyFraming();
  const closing how = AnyClosing();
  const stop at =
      GENERATE(stop::kInHead, stop::kAfterHead, stop::kInEvent, stop::kAtEnd);
  bench.upstream.SetHandler([&](const received_request& request) {
    bench.Write(request, AnswerUntil({"whole body"}, delimited_by, at), how);
  });
  bench.AskService();
  // A body that ends with its connection is whole wherever that ends, unless it
  // is empty or its process has ended too.
  const bool has_body = at == stop::kInEvent || at == stop::kAtEnd;
  const bool whole = delimited_by == framing::kConnection
                         ? how == closing::kOrderly && has_body
                         : at == stop::kAtEnd;
  CHECK(bench.ended->outcome ==
        (whole ? attempt_outcome::kComplete : attempt_outcome::kBroken));
}

// Guards against a short body that is taken for a whole one where its service's
// process has ended.
TEST_CASE("A service's answer that ends with its process is not complete",
          "[attempt][answer_end][ended_process][regression]") {
  attempt_bench bench;
  const framing delimited_by = AnyFraming();
  const stop at = GENERATE(stop::kInEvent, stop::kAtEnd);
  bench.upstream.SetHandler([&](const received_request& request) {
    bench.WriteAndEnd(request, AnswerUntil({"whole body"}, delimited_by, at));
  });
  bench.AskService();
  const bool whole = at == stop::kAtEnd && delimited_by != framing::kConnection;
  CHECK(bench.ended->outcome ==
        (whole ? attempt_outcome::kComplete : attempt_outcome::kBroken));
  CHECK(bench.ended->may_have_run);
}

// Guards against a short body that is taken for a whole one where its service's
// process still accepts connections while it ends, and against a whole one that
// is called broken because its service has no room for a connection.
TEST_CASE("A service that resets connections is asked again",
          "[attempt][answer_end][ended_process][regression]") {
  attempt_bench bench;
  const bool goes_on = GENERATE(true, false);
  bench.upstream.SetHandler([&](const received_request& request) {
    bench.WriteAndReset(
        request,
        AnswerUntil({"whole body"}, framing::kConnection, stop::kAtEnd),
        goes_on);
  });
  bench.AskService();
  CHECK(bench.ended->outcome ==
        (goes_on ? attempt_outcome::kComplete : attempt_outcome::kBroken));
}

// Guards against a part of an answer that is taken for a whole one, because its
// service ended it while the request was still being written.
TEST_CASE("A service's answer that ends before it has the request is short",
          "[attempt][answer_end][early_answer][regression]") {
  attempt_bench bench;
  event_loop::handle_ptr finish;
  bench.upstream.SetHeadHandler([&](const received_request& request) {
    request.stop_reading();
    request.write("HTTP/1.1 200 OK\r\n\r\npart");
    finish = bench.loop.After(milliseconds(20), request.finish);
  });
  bench.AskService(true, std::string(2000000, 'u'));
  CHECK(bench.ended->outcome == attempt_outcome::kBroken);
  CHECK(bench.ended->may_have_run);
}

// Guards against an answer with an impossible status.
TEST_CASE("A service's answer with a status that HTTP does not know is none",
          "[attempt][odd_status][regression]") {
  attempt_bench bench;
  const std::string status =
      GENERATE(as<std::string>{}, "000", "099", "103", "600");
  bench.upstream.SetHandler([&](const received_request& request) {
    request.write("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nno");
  });
  bench.AskService();
  CHECK(bench.ended->outcome == attempt_outcome::kMalformed);
}

// Guards against 'not run' for a request that a service runs, after a service
// has written an earlier refusal once more on the same connection.
TEST_CASE("A refusal that is repeated on a kept connection answers nothing",
          "[attempt][refusal][regression]") {
  attempt_bench bench;
  const std::string status = GENERATE(
      as<std::string>{}, "429 Too Many Requests", "503 Service Unavailable");
  const bool late = GENERATE(false, true);
  const std::string refusal = "HTTP/1.1 " + status +
                              "\r\nX-Not-Run: true\r\n"
                              "Content-Length: 0\r\n\r\n";
  int number = 0;
  bench.upstream.SetHandler([&](const received_request& request) {
    if (++number == 1) {
      request.write(late ? refusal : refusal + refusal);
      return;
    }
    if (late && bench.upstream.connections == 1) {
      request.write(refusal);
    }
    request.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  bench.AskService();
  CHECK(bench.ended->outcome == attempt_outcome::kRefused);
  bench.AskService();
  CHECK(bench.ended->outcome == attempt_outcome::kComplete);
  CHECK(bench.ended->response.body == "ok");
}

// Guards against an answer that is not the caller's own.
TEST_CASE("A second answer on a kept connection answers nothing",
          "[attempt][second_answer][regression]") {
  attempt_bench bench;
  int number = 0;
  bench.upstream.SetHandler([&](const received_request& request) {
    const std::string body = std::to_string(++number);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body;
    request.write(number == 1 ? answer + answer : answer);
  });
  bench.AskService();
  bench.loop.RunFor(milliseconds(20));
  bench.AskService();
  CHECK(bench.ended->outcome == attempt_outcome::kComplete);
  CHECK(bench.ended->response.body == "2");
}

}  // namespace skylarkcroft

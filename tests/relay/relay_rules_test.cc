#include <catch2/catch.hpp>

#include "skylarkcroft/relay/skylarkcroft_attempt_rules.h"
#include "skylarkcroft/relay/skylarkcroft_request_forwarding.h"
#include "skylarkcroft/relay/skylarkcroft_sse_splitter.h"

namespace skylarkcroft {
namespace {

retry_context MakeContext(attempt_failure failure) {
  retry_context context;
  context.failure = failure;
  context.upstreams_used = 1;
  context.max_attempts = 2;
  return context;
}

}  // namespace

TEST_CASE("A request that was not executed may be retried", "[relay][rules]") {
  const attempt_failure failure =
      GENERATE(attempt_failure::kNoConnection, attempt_failure::kDeclined,
               attempt_failure::kMisdirected);
  CHECK(MayRetry(MakeContext(failure)));
}

TEST_CASE(
    "A request that may have been executed is retried only on idempotent "
    "routes",
    "[relay][rules]") {
  const attempt_failure failure =
      GENERATE(attempt_failure::kBroken, attempt_failure::kMalformed,
               attempt_failure::kSilent, attempt_failure::kErrorResponse);
  retry_context context = MakeContext(failure);
  CHECK_FALSE(MayRetry(context));
  context.idempotent = true;
  CHECK(MayRetry(context));
  SECTION("and only below the maximum of attempts") {
    context.upstreams_used = 2;
    CHECK_FALSE(MayRetry(context));
  }
  SECTION("and only before the deadline") {
    context.has_time_left = false;
    CHECK_FALSE(MayRetry(context));
  }
  SECTION("and not after the response has started, unless it is resumable") {
    context.response_started = true;
    CHECK_FALSE(MayRetry(context));
    context.resumable = true;
    CHECK(MayRetry(context));
  }
}

TEST_CASE(
    "The final response says not executed only if no attempt may have executed",
    "[relay][rules]") {
  CHECK(ChooseFinalResponse(false, false, false) ==
        final_response::kNotExecuted);
  CHECK(ChooseFinalResponse(false, false, true) ==
        final_response::kNotExecuted);
  CHECK(ChooseFinalResponse(true, false, false) == final_response::kUnknown);
  CHECK(ChooseFinalResponse(true, false, true) == final_response::kTimeout);
  CHECK(ChooseFinalResponse(true, true, true) == final_response::kAbort);
}

TEST_CASE("Events are split correctly wherever reads divide the bytes",
          "[relay][events]") {
  const std::string bytes =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
  sse_splitter splitter;
  std::vector<raw_sse_event> events;
  for (const char byte : bytes) {
    for (const raw_sse_event& event : splitter.Feed({&byte, 1})) {
      events.push_back(event);
    }
  }
  REQUIRE(events.size() == 2);
  CHECK(events[0] == raw_sse_event{"id: 1\ndata: a\n\n", 1});
  CHECK(events[1] == raw_sse_event{"id: 2\r\ndata: b\r\n\r\n", 2});
  CHECK(splitter.remainder() == "id: 3\nda");
  CHECK(sse_splitter().Feed(bytes) == events);
}

TEST_CASE("Hop-by-hop headers of the client are not forwarded",
          "[relay][forward]") {
  message_head head;
  head.method = "GET";
  head.target = "/";
  head.headers = {{"Host", "h"},       {"Connection", "X-Hop, keep-alive"},
                  {"X-Hop", "1"},      {"Keep-Alive", "timeout=5"},
                  {"X-Kept", "value"}, {"TE", "trailers"}};
  header_names names;
  names.remaining_ms = "X-Left";
  names.expected_upstream = "X-Only";
  forwarding_fields fields;
  fields.upstream_id = "u1";
  fields.remaining = milliseconds(700);
  CHECK(FormatUpstreamHead(head, 0, fields, names) ==
        "GET / HTTP/1.1\r\nHost: h\r\nX-Kept: value\r\nX-Left: 700\r\n"
        "X-Only: u1\r\n\r\n");
}

}  // namespace skylarkcroft

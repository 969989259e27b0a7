#include <catch2/catch.hpp>

#include "skylarkcroft/relay/skylarkcroft_attempt_rules.h"
#include "skylarkcroft/relay/skylarkcroft_event_splitter.h"
#include "skylarkcroft/relay/skylarkcroft_forwarded_head.h"

namespace skylarkcroft {
namespace {

repeat_view View(attempt_failure failure) {
  repeat_view view;
  view.failure = failure;
  view.upstreams_used = 1;
  view.max_attempts = 2;
  return view;
}

}  // namespace

TEST_CASE("What certainly did not run may be repeated", "[relay][rules]") {
  const attempt_failure failure =
      GENERATE(attempt_failure::kNoConnection, attempt_failure::kDeclined,
               attempt_failure::kOtherProcess);
  CHECK(MayRepeat(View(failure)));
}

TEST_CASE("What may have run is repeated only where it may run twice",
          "[relay][rules]") {
  const attempt_failure failure =
      GENERATE(attempt_failure::kBroken, attempt_failure::kMalformed,
               attempt_failure::kSilent, attempt_failure::kErrorAnswer);
  repeat_view view = View(failure);
  CHECK_FALSE(MayRepeat(view));
  view.may_run_twice = true;
  CHECK(MayRepeat(view));
  SECTION("and while upstreams are left") {
    view.upstreams_used = 2;
    CHECK_FALSE(MayRepeat(view));
  }
  SECTION("and while there is time") {
    view.time_left = false;
    CHECK_FALSE(MayRepeat(view));
  }
  SECTION("and not after the answer has begun, unless it can go on") {
    view.answer_begun = true;
    CHECK_FALSE(MayRepeat(view));
    view.resumable = true;
    CHECK(MayRepeat(view));
  }
}

TEST_CASE("Only what did not run is refused as not run", "[relay][rules]") {
  CHECK(DecideFinal(false, false, false) == final_answer::kNotRun);
  CHECK(DecideFinal(false, false, true) == final_answer::kNotRun);
  CHECK(DecideFinal(true, false, false) == final_answer::kUnknown);
  CHECK(DecideFinal(true, false, true) == final_answer::kTimeout);
  CHECK(DecideFinal(true, true, true) == final_answer::kBreak);
}

TEST_CASE("Events are cut apart wherever the bytes are cut",
          "[relay][events]") {
  const std::string bytes =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
  event_splitter splitter;
  std::vector<raw_event> events;
  for (const char byte : bytes) {
    for (const raw_event& event : splitter.Feed({&byte, 1})) {
      events.push_back(event);
    }
  }
  REQUIRE(events.size() == 2);
  CHECK(events[0] == raw_event{"id: 1\ndata: a\n\n", 1});
  CHECK(events[1] == raw_event{"id: 2\r\ndata: b\r\n\r\n", 2});
  CHECK(splitter.rest() == "id: 3\nda");
  CHECK(event_splitter().Feed(bytes) == events);
}

TEST_CASE("Headers of the client's connection stay there", "[relay][forward]") {
  message_head head;
  head.method = "GET";
  head.target = "/";
  head.headers = {{"Host", "h"},       {"Connection", "X-Hop, keep-alive"},
                  {"X-Hop", "1"},      {"Keep-Alive", "timeout=5"},
                  {"X-Kept", "value"}, {"TE", "trailers"}};
  header_names names;
  names.remaining_ms = "X-Left";
  names.expected_upstream = "X-Only";
  forwarded_request set;
  set.upstream_id = "u1";
  set.remaining = milliseconds(700);
  CHECK(FormatForwarded(head, "", set, names) ==
        "GET / HTTP/1.1\r\nHost: h\r\nX-Kept: value\r\nX-Left: 700\r\n"
        "X-Only: u1\r\n\r\n");
}

}  // namespace skylarkcroft

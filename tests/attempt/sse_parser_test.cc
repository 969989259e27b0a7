#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/attempt/skylarkcroft_sse_parser.h"

namespace skylarkcroft {
namespace {

constexpr size_t kBound = 64;

std::vector<sse_event> Parse(const std::string& text, size_t piece) {
  std::vector<sse_event> events;
  sse_parser parser(kBound,
                    [&](const sse_event& event) { events.push_back(event); });
  for (size_t at = 0; at < text.size(); at += piece) {
    parser.Feed(std::string_view{text}.substr(at, piece));
  }
  return events;
}

TEST_CASE("events are the same however the bytes are cut", "[sse]") {
  const std::string text =
      ": comment\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n"
      "event: error\ndata: d\n\ndata: unfinished\n";
  const std::vector<sse_event> expected = {
      {"1", "", "a"}, {"2", "", "b\nc"}, {"", "error", "d"}};
  for (size_t piece = 1; piece <= text.size(); ++piece) {
    CAPTURE(piece);
    CHECK(Parse(text, piece) == expected);
  }
}

TEST_CASE("an event beyond the bound stops the parser", "[sse][hostile]") {
  int events = 0;
  sse_parser parser(kBound, [&](const sse_event&) { ++events; });
  CHECK_FALSE(parser.Feed("data: " + std::string(2 * kBound, 'x')));
  CHECK_FALSE(parser.Feed("\n\ndata: y\n\n"));
  CHECK(events == 0);
}

TEST_CASE("a formatted event is read back as it was", "[sse]") {
  const sse_event event{"7", "error", "text"};
  CHECK(Parse(FormatSse(event), 1) == std::vector<sse_event>{event});
}

}  // namespace
}  // namespace skylarkcroft

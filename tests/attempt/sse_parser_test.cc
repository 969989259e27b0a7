#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/attempt/skylarkcroft_sse_parser.h"

namespace skylarkcroft {
namespace {

constexpr size_t kMaxEventBytes = 64;

std::vector<sse_event> Parse(const std::string& text, size_t chunk_size) {
  std::vector<sse_event> events;
  sse_parser parser(kMaxEventBytes,
                    [&](const sse_event& event) { events.push_back(event); });
  for (size_t at = 0; at < text.size(); at += chunk_size) {
    parser.Feed(std::string_view{text}.substr(at, chunk_size));
  }
  return events;
}

TEST_CASE("the parsed events don't depend on how the bytes are split",
          "[sse]") {
  const std::string text =
      ": comment\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n"
      "event: error\ndata: d\n\ndata: unfinished\n";
  const std::vector<sse_event> expected = {
      {"1", "", "a"}, {"2", "", "b\nc"}, {"", "error", "d"}};
  for (size_t chunk_size = 1; chunk_size <= text.size(); ++chunk_size) {
    CAPTURE(chunk_size);
    CHECK(Parse(text, chunk_size) == expected);
  }
}

TEST_CASE("an event beyond the size limit stops the parser", "[sse][hostile]") {
  int events = 0;
  sse_parser parser(kMaxEventBytes, [&](const sse_event&) { ++events; });
  CHECK_FALSE(parser.Feed("data: " + std::string(2 * kMaxEventBytes, 'x')));
  CHECK_FALSE(parser.Feed("\n\ndata: y\n\n"));
  CHECK(events == 0);
}

TEST_CASE("a formatted event parses to the same event", "[sse]") {
  const sse_event event{"7", "error", "text"};
  CHECK(Parse(FormatSse(event), 1) == std::vector<sse_event>{event});
}

}  // namespace
}  // namespace skylarkcroft

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "skylarkcroft/wire/skylarkcroft_message_reader.h"

namespace skylarkcroft {
namespace {

constexpr size_t kMaxHeadBytes = 16384;
constexpr size_t kPieceBytes = 1000;

/// Feeds the bytes in pieces until the reader stops; `held` is the most memory
/// that the head took meanwhile.
read_state FeedAll(const std::string& bytes, size_t* held = nullptr) {
  message_events events;
  events.on_head = [](const message_head& /*head*/) {};
  events.on_body = [](std::string_view /*bytes*/) {};
  message_reader reader(message_kind::kRequest, kMaxHeadBytes, events);
  const std::string_view all = bytes;
  for (size_t at = 0; at < all.size(); at += kPieceBytes) {
    const read_progress progress = reader.Feed(all.substr(at, kPieceBytes));
    if (held != nullptr) {
      *held = std::max(*held, reader.held_bytes());
    }
    if (progress.state != read_state::kMore) {
      return progress.state;
    }
  }
  return read_state::kMore;
}

std::string Lines(const std::string& line, size_t bytes) {
  std::string head = "GET / HTTP/1.1\r\n";
  while (head.size() + line.size() + 2 <= bytes) {
    head += line;
  }
  return head + "\r\n";
}

}  // namespace

// Guards against clients that occupy a connection with empty lines, which
// belong to no field of the head.
TEST_CASE("Empty lines before a request count towards its head",
          "[wire][message_reader]") {
  std::string lines;
  while (lines.size() < 3 * kMaxHeadBytes) {
    lines += "\r\n";
  }
  CHECK(FeedAll(lines) == read_state::kTooLarge);
}

// Guards against a bound on lines that refuses a head within the limit, and
// against lines that cost many times their bytes.
TEST_CASE("A head within the limit is read whatever its lines",
          "[wire][message_reader]") {
  const std::string line =
      GENERATE("a:\r\n", "a:b\r\n", "a: b\r\n", "name: some value\r\n");
  size_t held = 0;
  CHECK(FeedAll(Lines(line, kMaxHeadBytes), &held) == read_state::kEnded);
  CHECK(held <= 2 * kMaxHeadBytes);
}

TEST_CASE("A head of too many lines is too large", "[wire][message_reader]") {
  CHECK(FeedAll(Lines("a:\r\n", 2 * kMaxHeadBytes)) == read_state::kTooLarge);
}

// Guards against fields whose lengths take more than one byte.
TEST_CASE("Header fields of any length are kept", "[http][headers]") {
  http_headers headers;
  const std::string long_value(70000, 'v');
  headers.Add("", "");
  headers.Add(std::string(127, 'n'), std::string(128, 'v'));
  headers.Add("Long", long_value);
  headers.Add("long", "second");
  std::string names;
  for (const header_view field : headers.fields()) {
    names += std::to_string(field.name.size()) + " " +
             std::to_string(field.value.size()) + ",";
  }
  CHECK(names == "0 0,127 128,4 70000,4 6,");
  CHECK(headers.Get("LONG") == long_value);
  CHECK_FALSE(headers.Has("other"));
}

}  // namespace skylarkcroft

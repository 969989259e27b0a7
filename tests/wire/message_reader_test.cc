#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/wire/skylarkcroft_message_reader.h"

namespace skylarkcroft {
namespace {

constexpr size_t kMaxHeadBytes = 4096;

/// A message_reader that keeps the heads and the body that it has parsed.
struct recording_reader {
  explicit recording_reader(message_kind kind)
      : reader(kind, kMaxHeadBytes,
               {[this](const message_head& read) { heads.push_back(read); },
                [this](std::string_view bytes) { body.append(bytes); }}) {}

  read_progress Feed(std::string_view bytes) { return reader.Feed(bytes); }

  std::vector<message_head> heads;
  std::string body;
  message_reader reader;
};

}  // namespace

TEST_CASE("A request with Content-Length is parsed up to its end", "[wire]") {
  recording_reader read(message_kind::kRequest);
  const std::string first =
      "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz";
  const read_progress progress = read.Feed(first + "GET /next");
  CHECK(progress.state == read_state::kEnded);
  CHECK(progress.consumed == first.size());
  CHECK(read.heads.front().method == "POST");
  CHECK(read.heads.front().target == "/a?b=c");
  CHECK(read.body == "xyz");
}

TEST_CASE("A chunked request is parsed when it arrives byte by byte",
          "[wire]") {
  recording_reader read(message_kind::kRequest);
  const std::string bytes =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  read_progress progress;
  for (const char byte : bytes) {
    progress = read.Feed({&byte, 1});
    REQUIRE(progress.state != read_state::kMalformed);
  }
  CHECK(progress.state == read_state::kEnded);
  CHECK(read.body == "abc");
}

TEST_CASE("Framing that two parsers could interpret differently is malformed",
          "[wire][smuggling]") {
  const std::string framing = GENERATE(
      as<std::string>{}, "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
      "Content-Length: 4\r\nContent-Length: 5\r\n",
      "Content-Length: 4\r\nContent-Length: 4\r\n", "Content-Length: +4\r\n",
      "Content-Length : 4\r\n", "Transfer-Encoding : chunked\r\n",
      "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, x\r\n",
      "Transfer-Encoding: identity\r\n");
  recording_reader read(message_kind::kRequest);
  const read_progress progress =
      read.Feed("POST / HTTP/1.1\r\nHost: h\r\n" + framing +
                "\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n");
  CHECK(progress.state == read_state::kMalformed);
  CHECK(read.heads.empty());
}

TEST_CASE("A head that exceeds the limit is reported as too large", "[wire]") {
  recording_reader read(message_kind::kRequest);
  const read_progress progress =
      read.Feed("GET / HTTP/1.1\r\nA: " + std::string(2 * kMaxHeadBytes, 'x') +
                "\r\n\r\n");
  CHECK(progress.state == read_state::kTooLarge);
}

TEST_CASE("A response without a length ends when the connection closes",
          "[wire]") {
  recording_reader read(message_kind::kResponse);
  CHECK(read.Feed("HTTP/1.1 200 OK\r\n\r\nabc").state == read_state::kMore);
  CHECK(read.reader.FeedEof() == read_state::kEnded);
  CHECK(read.body == "abc");
}

TEST_CASE("A truncated response is malformed", "[wire]") {
  recording_reader read(message_kind::kResponse);
  read.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  CHECK(read.reader.FeedEof() == read_state::kMalformed);
}

TEST_CASE("Interim responses are skipped", "[wire]") {
  recording_reader read(message_kind::kResponse);
  const read_progress progress =
      read.Feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
  CHECK(progress.state == read_state::kEnded);
  REQUIRE(read.heads.size() == 1);
  CHECK(read.heads.front().status == 204);
}

// Guards against interim responses that are read until a deadline.
TEST_CASE("Interim responses without end are malformed",
          "[wire][endless][regression]") {
  recording_reader read(message_kind::kResponse);
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  int skipped = 0;
  while (skipped < 100 && read.Feed(interim).state == read_state::kMore) {
    ++skipped;
  }
  CHECK(skipped == 16);
}

// Guards against an impossible status that is taken for an interim or a final
// response.
TEST_CASE("A status outside of 100 to 599 is malformed",
          "[wire][odd_status][regression]") {
  recording_reader read(message_kind::kResponse);
  const std::string status =
      GENERATE(as<std::string>{}, "000", "1", "99", "600", "999");
  CHECK(read.Feed("HTTP/1.1 " + status + " Odd\r\n\r\nbody").state ==
        read_state::kMalformed);
  CHECK(read.heads.empty());
  CHECK(read.body.empty());
}

TEST_CASE("Bytes that are not an HTTP response are malformed", "[wire]") {
  recording_reader read(message_kind::kResponse);
  CHECK(read.Feed("\x01\x02garbage\r\n\r\n").state == read_state::kMalformed);
}

TEST_CASE("A reader can be reset and reused for the next message", "[wire]") {
  recording_reader read(message_kind::kRequest);
  read.Feed("GET /one HTTP/1.1\r\nHost: h\r\n\r\n");
  read.reader.Reset();
  CHECK_FALSE(read.reader.started());
  read.Feed("GET /two HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(read.heads.back().target == "/two");
}

}  // namespace skylarkcroft

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/quarantine/skylarkcroft_prompt_key.h"
#include "skylarkcroft/quarantine/skylarkcroft_quarantine_notice.h"
#include "skylarkcroft/quarantine/skylarkcroft_success_memory.h"

namespace skylarkcroft {

TEST_CASE("A notice is the same after it was encoded and decoded",
          "[quarantine][codec]") {
  const quarantine_notice notice{
      {{3, 0xffffffffffffffff, true, {1, 2}}, {4, 5, false, {6}}},
      {{7, milliseconds(20)}},
      {8, 9},
      {{{10, 11}, milliseconds(5), milliseconds(120000), 2}}};
  const std::vector<std::string> datagrams = EncodeNotice(notice);
  REQUIRE(datagrams.size() == 1);
  CHECK(DecodeNotice(datagrams.front()) == notice);
  CHECK(EncodeNotice({}).empty());
}

TEST_CASE("A long notice is split into datagrams that fit into one packet",
          "[quarantine][codec]") {
  constexpr size_t kMaxBytes = 1200;
  constexpr size_t kCrashes = 200;
  quarantine_notice notice;
  for (size_t i = 0; i < kCrashes; ++i) {
    notice.crashes.push_back(
        {static_cast<uint32_t>(i), i, true,
         std::vector<part_key>(kMaxSharedParts, 0xffffffffffffffff)});
  }
  size_t decoded = 0;
  for (const std::string& datagram : EncodeNotice(notice)) {
    CHECK(datagram.size() <= kMaxBytes);
    decoded += DecodeNotice(datagram).value().crashes.size();
  }
  CHECK(decoded == kCrashes);
}

// Guards against a process that ends by one malformed datagram.
TEST_CASE("Datagrams that are no notice are ignored",
          "[quarantine][codec][regression]") {
  const std::string whole =
      EncodeNotice({{{3, 4, true, {1, 2}}}, {}, {}, {}}).front();
  for (size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(DecodeNotice(whole.substr(0, size)).has_value());
  }
  for (size_t i = 0; i < whole.size(); ++i) {
    std::string changed = whole;
    changed[i] = static_cast<char>(changed[i] ^ 0x55);
    CHECK_NOTHROW(DecodeNotice(changed));
  }
  quarantine_notice ageless;
  ageless.quarantined = {{{1}, milliseconds(-1), milliseconds(0), 0}};
  CHECK_FALSE(DecodeNotice(EncodeNotice(ageless).front()).has_value());
}

TEST_CASE("The key of a prompt tells its own part from the shared ones",
          "[quarantine]") {
  const prompt_key key =
      MakePromptKey("pool", ParseGenerationShape("10,5", "a:1,b:2,c:3"));
  const prompt_key other =
      MakePromptKey("pool", ParseGenerationShape("10,5", "a:1,b:2,d:3"));
  const prompt_key elsewhere =
      MakePromptKey("other", ParseGenerationShape("10,5", "a:1,b:2,c:3"));
  CHECK(key.shared.size() == 2);
  CHECK(key.shared == other.shared);
  CHECK(key.request != other.request);
  CHECK(key.shared != elsewhere.shared);
  CHECK(MakePromptKey("pool", generation_shape{}) == prompt_key{});
}

TEST_CASE("The memory of successes is bounded and keeps what is used",
          "[quarantine][bounds]") {
  constexpr size_t kCapacity = 100;
  const time_point start{std::chrono::seconds(100)};
  success_memory memory(kCapacity);
  for (part_key part = 0; part < 10000; ++part) {
    memory.Record(part, start);
    memory.Record(1, start + milliseconds(part));
  }
  CHECK(memory.size() <= kCapacity);
  CHECK(memory.LastSuccess(1) == start + milliseconds(9999));
  CHECK_FALSE(memory.LastSuccess(2).has_value());
}

// Guards against a datagram of a few bytes that ends the process: the length of
// its array is beyond what the decoder can hold.
TEST_CASE("An array of excessive length is no notice", "[quarantine][codec]") {
  const std::string datagram = "\x9b\xff\xff\xff\xff\xff\xff\xff\xfe";
  CHECK_FALSE(DecodeNotice(datagram).has_value());
}

}  // namespace skylarkcroft

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/peers/skylarkcroft_datagram_fragments.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

std::string Payload(size_t bytes, char seed) {
  std::string payload;
  for (size_t i = 0; i < bytes; ++i) {
    payload.push_back(static_cast<char>(seed + static_cast<char>(i % 23)));
  }
  return payload;
}

}  // namespace

TEST_CASE("A payload is put together from fragments in any order",
          "[peers][fragments]") {
  const std::string payload = Payload(GENERATE(1151, 6000, 32768), 'a');
  std::vector<std::string> datagrams = SplitIntoFragments(payload);
  REQUIRE(datagrams.size() > 1);
  std::reverse(datagrams.begin(), datagrams.end());
  fragment_assembler assembler;
  std::optional<std::string> whole;
  for (const std::string& datagram : datagrams) {
    CHECK(datagram.size() <= 1200);
    REQUIRE_FALSE(whole.has_value());
    whole = assembler.Add(datagram, kStart);
    // A duplicate changes nothing.
    if (!whole.has_value()) {
      CHECK_FALSE(assembler.Add(datagram, kStart).has_value());
    }
  }
  CHECK(whole == payload);
  CHECK(assembler.size() == 0);
}

TEST_CASE("A payload that fits into a packet is not split",
          "[peers][fragments]") {
  const std::string payload = Payload(1000, 'a');
  CHECK(SplitIntoFragments(payload) == std::vector<std::string>{payload});
  CHECK_FALSE(IsFragment(payload));
}

// Guards against memory that grows with each payload of which a fragment is
// lost.
TEST_CASE("Incomplete payloads are bounded and forgotten",
          "[peers][fragments]") {
  fragment_assembler assembler;
  for (char seed = 'a'; seed < 'z'; ++seed) {
    assembler.Add(SplitIntoFragments(Payload(5000, seed)).front(), kStart);
  }
  CHECK(assembler.size() <= 8);
  assembler.Add("no fragment", kStart + milliseconds(3000));
  CHECK(assembler.size() == 0);
}

}  // namespace skylarkcroft

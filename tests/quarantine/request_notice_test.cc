#include <catch2/catch.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/quarantine/skylarkcroft_quarantine_notice.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_notice.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

constexpr request_key kLargestKey = 0xffffffffffffffff;
constexpr uint32_t kLargestUpstream = 0xffffffff;
constexpr milliseconds kLongest{172800000};

std::string Cbor(const json& items) {
  const std::vector<uint8_t> bytes = json::to_cbor(items);
  return {bytes.begin(), bytes.end()};
}

}  // namespace

TEST_CASE("A notice on requests is the same after encoding and decoding",
          "[quarantine][codec]") {
  const request_notice notice{
      {{3, kLargestKey, milliseconds(0), milliseconds(700)},
       {kLargestUpstream, 5, milliseconds(4), milliseconds(0)}},
      {{7, milliseconds(20)}},
      {8, 9},
      {10},
      {{11, milliseconds(5), milliseconds(120000), 2}}};
  const std::vector<std::string> datagrams = EncodeRequestNotice(notice);
  REQUIRE(datagrams.size() == 1);
  CHECK(DecodeRequestNotice(datagrams.front()) == notice);
  CHECK(EncodeRequestNotice({}).empty());
}

TEST_CASE("A long notice on requests is split into datagrams of one packet",
          "[quarantine][codec]") {
  constexpr size_t kMaxBytes = 1200;
  constexpr size_t kEntries = 300;
  request_notice notice;
  for (size_t i = 0; i < kEntries; ++i) {
    notice.crashes.push_back(
        {kLargestUpstream, kLargestKey, kLongest, kLongest});
    notice.successes.push_back({kLargestKey, kLongest});
    notice.alive.push_back(kLargestUpstream);
    notice.explained.push_back(kLargestUpstream);
    notice.quarantined.push_back({kLargestKey, kLongest, kLongest, 1000});
  }
  request_notice decoded;
  for (const std::string& datagram : EncodeRequestNotice(notice)) {
    CHECK(datagram.size() <= kMaxBytes);
    const request_notice part = DecodeRequestNotice(datagram).value();
    const auto append = [](auto& to, const auto& from) {
      to.insert(to.end(), from.begin(), from.end());
    };
    append(decoded.crashes, part.crashes);
    append(decoded.successes, part.successes);
    append(decoded.alive, part.alive);
    append(decoded.explained, part.explained);
    append(decoded.quarantined, part.quarantined);
  }
  CHECK(decoded == notice);
}

TEST_CASE("Notices on requests and on prompt parts are told apart",
          "[quarantine][codec]") {
  const std::string request =
      EncodeRequestNotice({{}, {}, {1}, {}, {}}).front();
  const std::string part = EncodeNotice({{}, {}, {1}, {}}).front();
  CHECK_FALSE(DecodeNotice(request).has_value());
  CHECK_FALSE(DecodeRequestNotice(part).has_value());
}

TEST_CASE("Numbers out of range make a notice on requests invalid",
          "[quarantine][codec]") {
  const json none = json::array();
  const auto notice = [&](const json& crash, const json& entry) {
    return Cbor(json::array({"requests1", crash, none, none, none, entry}));
  };
  const auto list = [](const json& item) { return json::array({item}); };
  REQUIRE(DecodeRequestNotice(notice(list({1, 2, 3, 4}), list({1, 2, 3, 4}))));
  const json crash = GENERATE(
      json{-1, 2, 3, 4}, json{4294967296, 2, 3, 4}, json{1, 0, 3, 4},
      json{1, -2, 3, 4}, json{1, 2, -3, 4}, json{1, 2, 3, -4},
      json{1, 2, 3, 172800001}, json{1, 2, 1e300, 4}, json{1, 2.5, 3, 4},
      json{1, true, 3, 4}, json{1, 2, 3}, json("text"), json(nullptr), json(5));
  CAPTURE(crash);
  CHECK_FALSE(DecodeRequestNotice(notice(list(crash), none)).has_value());
  const json entry =
      GENERATE(json{0, 2, 3, 4}, json{1, 2, 172800001, 4}, json{1, 2, 3, -1},
               json{1, 2, 3, 1001}, json{1, 2, 3, 4294967296}, json{1, 2, 3});
  CAPTURE(entry);
  CHECK_FALSE(DecodeRequestNotice(notice(none, list(entry))).has_value());
}

// Guards against a datagram of a few bytes that ends the process: the length of
// its array is beyond what the decoder can hold.
TEST_CASE("An array of excessive length is no notice on requests",
          "[quarantine][codec]") {
  const std::string datagram = "\x9b\xff\xff\xff\xff\xff\xff\xff\xfe";
  CHECK_FALSE(DecodeRequestNotice(datagram).has_value());
}

TEST_CASE("Bytes that were cut off are no notice on requests",
          "[quarantine][codec]") {
  const std::string datagram =
      EncodeRequestNotice({{{1, 2, milliseconds(3), milliseconds(4)}},
                           {{5, milliseconds(6)}},
                           {7},
                           {8},
                           {}})
          .front();
  for (size_t length = 0; length < datagram.size(); ++length) {
    CHECK_FALSE(DecodeRequestNotice(datagram.substr(0, length)).has_value());
  }
}

}  // namespace skylarkcroft

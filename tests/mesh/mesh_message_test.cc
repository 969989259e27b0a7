#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "skylarkcroft/internal/skylarkcroft_digest.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh_message.h"
#include "skylarkcroft/mesh/skylarkcroft_replay_guard.h"

namespace skylarkcroft {
namespace {

constexpr const char* kKey = "shared";
constexpr size_t kBodyStart = 37;

mesh_message Sample() {
  mesh_message message;
  message.kind = mesh_message_kind::kReply;
  message.sender = "node-a";
  message.incarnation = 1700000000000;
  message.sequence = 12;
  message.sent_at_ms = 1700000000500;
  message.addressee = "node-b";
  message.reply_to = 7;
  message.revision = 3;
  message.known_incarnation = 1700000000001;
  message.suspected_version = 2;
  message.digest = std::string("\0\1\2\3\4\5\6\7", 8);
  message.requested_publishers = {1, 4000000000U};
  message.records = {{"node-c", "limits", 5, 6, std::string("\0x", 2)}};
  return message;
}

std::string EncodeBody(const nlohmann::json& body) {
  std::string bytes = EncodeMeshMessage(Sample(), kKey).substr(0, 5);
  std::string packed;
  nlohmann::json::to_msgpack(body, packed);
  return bytes + HmacSha256(kKey, bytes + packed) + packed;
}

TEST_CASE("a decoded message equals the encoded one", "[mesh][message]") {
  const mesh_decode_result decoded =
      DecodeMeshMessage(EncodeMeshMessage(Sample(), kKey), kKey);
  REQUIRE(decoded.message);
  CHECK(*decoded.message == Sample());
}

TEST_CASE("unknown fields of a message are ignored", "[mesh][message]") {
  const std::string bytes = EncodeMeshMessage(Sample(), kKey);
  nlohmann::json body = nlohmann::json::from_msgpack(bytes.substr(kBodyStart));
  body["later"] = {1, 2, 3};
  const mesh_decode_result decoded = DecodeMeshMessage(EncodeBody(body), kKey);
  REQUIRE(decoded.message);
  CHECK(*decoded.message == Sample());
}

TEST_CASE("truncated, damaged or forged messages are dropped with a reason",
          "[mesh][message]") {
  const std::string bytes = EncodeMeshMessage(Sample(), kKey);
  const auto failure = [](const std::string& received) {
    const mesh_decode_result decoded = DecodeMeshMessage(received, kKey);
    REQUIRE_FALSE(decoded.message);
    return decoded.failure;
  };
  SECTION("every truncation") {
    for (size_t size = 0; size < bytes.size(); ++size) {
      const mesh_drop why = failure(bytes.substr(0, size));
      CHECK(why == (size <= kBodyStart ? mesh_drop::kTruncated
                                       : mesh_drop::kNotAuthentic));
    }
  }
  SECTION("every byte damaged in turn") {
    for (size_t index = 0; index < bytes.size(); ++index) {
      std::string damaged = bytes;
      damaged[index] = static_cast<char>(damaged[index] ^ 0x40);
      CHECK(failure(damaged) ==
            (index < 5 ? mesh_drop::kWrongVersion : mesh_drop::kNotAuthentic));
    }
  }
  SECTION("another key") {
    CHECK(failure(EncodeMeshMessage(Sample(), "other")) ==
          mesh_drop::kNotAuthentic);
  }
  SECTION("an authenticated message of unknown kind") {
    nlohmann::json body =
        nlohmann::json::from_msgpack(bytes.substr(kBodyStart));
    for (const int kind : {-1, 0, 5, 99}) {
      body["k"] = kind;
      CHECK(failure(EncodeBody(body)) == mesh_drop::kMalformed);
    }
  }
  SECTION("an authenticated body with a malformed content") {
    CHECK(failure(EncodeBody({{"k", "text"}})) == mesh_drop::kMalformed);
    CHECK(failure(EncodeBody(nlohmann::json::array())) ==
          mesh_drop::kMalformed);
  }
  SECTION("random bytes") {
    std::mt19937 random(1);
    for (int round = 0; round < 2000; ++round) {
      std::string noise(random() % 300, '\0');
      for (char& byte : noise) {
        byte = static_cast<char>(random());
      }
      CHECK_FALSE(DecodeMeshMessage(noise, kKey).message);
    }
  }
}

TEST_CASE("a message is accepted once, and only while it is recent",
          "[mesh][replay]") {
  constexpr int64_t kNowMs = 1700000000500;
  replay_guard guard{milliseconds(30000)};
  mesh_message message = Sample();
  REQUIRE_FALSE(guard.Check(message, kNowMs));
  SECTION("a duplicate is rejected") {
    CHECK(guard.Check(message, kNowMs) == mesh_drop::kReplayed);
  }
  SECTION("a message out of order is accepted once") {
    message.sequence = 10;
    CHECK_FALSE(guard.Check(message, kNowMs));
    CHECK(guard.Check(message, kNowMs) == mesh_drop::kReplayed);
  }
  SECTION("a sequence older than the window is rejected") {
    message.sequence = 500;
    CHECK_FALSE(guard.Check(message, kNowMs));
    message.sequence = 436;
    CHECK(guard.Check(message, kNowMs) == mesh_drop::kReplayed);
  }
  SECTION(
      "a message with an outdated send time is rejected despite a new "
      "sequence") {
    message.sequence = 13;
    CHECK(guard.Check(message, kNowMs + 30001) == mesh_drop::kOutOfDate);
    CHECK(guard.Check(message, kNowMs - 30001) == mesh_drop::kOutOfDate);
  }
  SECTION(
      "a higher incarnation starts a new window and lower ones are rejected") {
    mesh_message later = message;
    ++later.incarnation;
    later.sequence = 1;
    CHECK_FALSE(guard.Check(later, kNowMs));
    message.sequence = 13;
    CHECK(guard.Check(message, kNowMs) == mesh_drop::kOldIncarnation);
  }
}

}  // namespace
}  // namespace skylarkcroft

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

constexpr size_t kHugeNesting = 100000;
constexpr size_t kDatagramBytes = 65507;

std::string Repeat(const std::string& piece, size_t times) {
  std::string text;
  for (size_t i = 0; i < times; ++i) {
    text += piece;
  }
  return text;
}

std::string NestedArrays(size_t levels) {
  return Repeat("[", levels) + Repeat("]", levels);
}

}  // namespace

TEST_CASE("A document of the allowed nesting is read as it is",
          "[internal][odd_entry]") {
  const std::string text = NestedArrays(kMaxJsonNesting);
  CHECK(ParseBoundedJson(text) == json::parse(text));
  const std::string members = R"({"a": [1, {"b": "x"}], "c": [[], {}]})";
  CHECK(ParseBoundedJson(members) == json::parse(members));
  std::string cbor;
  json::to_cbor(json::parse(members), cbor);
  CHECK(DecodeBoundedCbor(cbor) == json::parse(members));
  std::string packed;
  json::to_msgpack(json::parse(members), packed);
  CHECK(DecodeBoundedMessagePack(packed) == json::parse(members));
}

TEST_CASE("Text that is not one document is discarded",
          "[internal][odd_entry]") {
  for (const char* text : {"", "{", "[1,]", "1 2", "\xff", R"("\ud800")",
                           "[1e400]", "{\"a\": \"\xc3\x28\"}"}) {
    INFO(text);
    CHECK(ParseBoundedJson(text).is_discarded());
  }
}

// Guards against the end of the process, for lack of stack, on a document that
// is nested very deeply.
TEST_CASE("A deeply nested document is discarded", "[internal][odd_entry]") {
  for (const size_t levels : {size_t{kMaxJsonNesting} + 1, kHugeNesting}) {
    CHECK(ParseBoundedJson(NestedArrays(levels)).is_discarded());
    CHECK(ParseBoundedJson(R"({"a": 1, "b": )" + NestedArrays(levels) + "}")
              .is_discarded());
    CHECK(
        ParseBoundedJson(Repeat(R"({"a":)", levels) + "1" + Repeat("}", levels))
            .is_discarded());
    CHECK(ParseBoundedJson(Repeat("[", levels)).is_discarded());
    CHECK_THROWS_AS(ParseJson(NestedArrays(levels)), config_error);
    CHECK(DecodeBoundedCbor(Repeat("\x81", levels) + "\x01").is_discarded());
    CHECK(DecodeBoundedMessagePack(Repeat("\x91", levels) + "\x01")
              .is_discarded());
  }
}

// Guards against the end of the process, for lack of stack, on a datagram of
// strings of unstated length within one another.
TEST_CASE("Nested strings of unstated length are discarded",
          "[internal][odd_entry]") {
  CHECK(DecodeBoundedCbor(Repeat("\x7f", kDatagramBytes)).is_discarded());
  CHECK(DecodeBoundedCbor(Repeat("\x5f", kDatagramBytes)).is_discarded());
  CHECK(
      DecodeBoundedCbor(Repeat("\x7f\x60", kDatagramBytes / 2)).is_discarded());
}

}  // namespace skylarkcroft

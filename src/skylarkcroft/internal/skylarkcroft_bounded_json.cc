#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace skylarkcroft {
namespace {

using nlohmann::json;

// First bytes of a text and of a byte string of unstated length in CBOR. The
// library reads the pieces of one by a call of the same function, and no
// encoder of this program writes one. As other bytes they are far rarer.
constexpr char kUnstatedText = '\x7f';
constexpr char kUnstatedBytes = '\x5f';
constexpr std::ptrdiff_t kMaxUnstated = 8192;

// Ends the reading of a document at the first level beyond the bound.
class nesting_check final : public json::json_sax_t {
 public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*elements*/) override { return Enter(); }
  bool key(string_t& /*value*/) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*elements*/) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                   const json::exception& /*failure*/) override {
    return false;
  }

 private:
  bool Enter() { return ++level_ <= kMaxJsonNesting; }
  bool Leave() {
    --level_;
    return true;
  }

  int level_ = 0;
};

bool IsBounded(std::string_view bytes, json::input_format_t format) {
  nesting_check check;
  return json::sax_parse(bytes.begin(), bytes.end(), &check, format);
}

json Discarded() { return json(json::value_t::discarded); }

// A scan of its own: a callback of the parser would hold up the loop on large
// texts. Right for well-formed texts; others are refused anyway.
bool IsNestedTooDeep(std::string_view text) {
  int level = 0;
  bool quoted = false;
  bool escaped = false;
  for (const char byte : text) {
    if (quoted) {
      quoted = escaped || byte != '"';
      escaped = !escaped && byte == '\\';
      continue;
    }
    quoted = byte == '"';
    if (byte == '[' || byte == '{') {
      ++level;
    } else if (byte == ']' || byte == '}') {
      --level;
    }
    if (level > kMaxJsonNesting) {
      return true;
    }
  }
  return false;
}

}  // namespace

nlohmann::json ParseBoundedJson(std::string_view text) {
  return IsNestedTooDeep(text) ? Discarded()
                               : json::parse(text, nullptr, false);
}

nlohmann::json ParseBoundedJsonOrThrow(std::string_view text) {
  if (IsNestedTooDeep(text)) {
    throw std::length_error("more than " + std::to_string(kMaxJsonNesting) +
                            " levels of arrays and objects");
  }
  return json::parse(text);
}

nlohmann::json DecodeBoundedCbor(std::string_view bytes) {
  const auto count = [&bytes](char byte) {
    return std::count(bytes.begin(), bytes.end(), byte);
  };
  const bool readable = count(kUnstatedText) <= kMaxUnstated &&
                        count(kUnstatedBytes) <= kMaxUnstated &&
                        IsBounded(bytes, json::input_format_t::cbor);
  return readable ? json::from_cbor(bytes.begin(), bytes.end(), true, false)
                  : Discarded();
}

nlohmann::json DecodeBoundedMessagePack(std::string_view bytes) {
  return IsBounded(bytes, json::input_format_t::msgpack)
             ? json::from_msgpack(bytes.begin(), bytes.end(), true, false)
             : Discarded();
}

}  // namespace skylarkcroft

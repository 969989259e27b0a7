#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/platform_documents.h"
#include "skylarkcroft/attempt/skylarkcroft_completion_request.h"
#include "skylarkcroft/claims/skylarkcroft_claim_record.h"
#include "skylarkcroft/control/skylarkcroft_lease_record.h"
#include "skylarkcroft/deferred/skylarkcroft_deferred_record.h"
#include "skylarkcroft/duties/skylarkcroft_usage_journal.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/peers/skylarkcroft_peer_report.h"
#include "skylarkcroft/quarantine/skylarkcroft_quarantine_archive.h"
#include "skylarkcroft/quarantine/skylarkcroft_quarantine_notice.h"
#include "skylarkcroft/routing/skylarkcroft_load_poller.h"
#include "skylarkcroft/store/skylarkcroft_table_changes.h"
#include "skylarkcroft/tables/skylarkcroft_table_rows.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

// A reader of documents that others write, with one that it takes.
struct document_reader {
  std::string name;
  std::string sound;
  std::function<bool(const std::string&)> read;
};

std::string Repeat(const std::string& piece, size_t times) {
  std::string text;
  for (size_t i = 0; i < times; ++i) {
    text += piece;
  }
  return text;
}

// Values, as JSON text, that no writer of this system would write.
std::vector<std::string> OddValues() {
  constexpr size_t kLevels = 100000;
  constexpr size_t kLongText = 100000;
  constexpr size_t kManyElements = 10000;
  return {Repeat("[", kLevels) + Repeat("]", kLevels),
          Repeat(R"({"a":)", kLevels) + "1" + Repeat("}", kLevels),
          "[" + Repeat("1,", kManyElements) + "1]",
          "1e300",
          "-1e300",
          "1e400",
          "18446744073709551615",
          "9223372036854775807",
          "-9223372036854775808",
          "-1",
          "0.5",
          "70000",
          "true",
          "null",
          R"("")",
          R"("10.0.0.1:65536")",
          R"("10.0.0.1:99999999999999999999")",
          R"("10.0.0.1:-1")",
          R"("[::1]:80")",
          "\"" + Repeat("x", kLongText) + "\"",
          "\"\xc3\x28\"",
          R"("\u0000")",
          R"({"a": 1, "a": 2})"};
}

// `sound` with each of its values, at any level, replaced by `odd` in turn.
std::vector<std::string> WithOddValue(const std::string& sound,
                                      const std::string& odd) {
  const std::string mark = "odd value";
  const json document = json::parse(sound);
  std::vector<std::string> texts = {odd};
  std::vector<json::json_pointer> places;
  const json values = document.flatten();
  for (const auto& [path, value] : values.items()) {
    for (json::json_pointer at(path); !at.empty(); at = at.parent_pointer()) {
      places.push_back(at);
    }
  }
  for (const json::json_pointer& place : places) {
    json changed = document;
    changed[place] = mark;
    const std::string text = changed.dump();
    const std::string quoted = "\"" + mark + "\"";
    const size_t at = text.find(quoted);
    texts.push_back(text.substr(0, at) + odd + text.substr(at + quoted.size()));
  }
  return texts;
}

// Of the relay.
std::vector<document_reader> RelayReaders() {
  constexpr milliseconds kStoreNow{1000000};
  return {
      {"config",
       R"({"version": 7, "routes": [{"name": "r", "host": "h",
           "path_prefix": "/", "kind": "safe", "timeout_ms": 1000,
           "target_latency_ms": 10, "priority": 1, "attempts": 2,
           "allow_anonymous": true, "resume_streams": false,
           "traffic_split": [{"service": "s", "weight": 9}]}],
           "services": [{"name": "s", "health_path": "/h",
           "connection_limit": 9,
           "engine": {"slots": 4, "kv_cache_tokens": 1000},
           "scaling": {"minimum": 1, "maximum": 3, "boot_time_s": 2.5,
                       "spot_price": 0.5, "zone_prices": {"z": 1.0}}}],
           "limits": {"header_bytes": 1000, "body_bytes": 1000,
                      "header_timeout_ms": 1000, "idle_timeout_ms": 1000},
           "tenants": [{"name": "w", "api_keys": ["k"], "priority": 1,
                        "unit": "tokens", "plain_tokens": 2,
                        "rate_per_s": 10, "burst_size": 10}]})",
       [](const std::string& text) {
         return platform::ReadConfig(text).has_value();
       }},
      {"entry of an upstream",
       R"({"service": "s", "address": "10.0.0.1:80", "zone": "z",
           "version": "v", "slots": 4, "state": "draining", "use_spot": true,
           "born": 17, "leaves_ms": 100, "sequence_number": 3})",
       [](const std::string& text) {
         return platform::ReadUpstream("i-1", text).has_value();
       }},
      {"lease",
       R"({"holder": "n", "incarnation": "1", "fence": 2,
           "lease_time_ms": 1000, "released": false})",
       [](const std::string& text) { return DecodeLease(text).has_value(); }},
      {"usage journal", R"([{"window": 5, "begun": {"w": 3}}])",
       [](const std::string& text) { return DecodeJournal(text).has_value(); }},
      {"quarantine",
       R"({"parts": [1, 2], "first_crash_ms": 999000, "ends_ms": 1001000,
           "relapses": 1})",
       [=](const std::string& text) {
         return DecodeQuarantineRow({"quarantines", "k", text, 1, false},
                                    kStoreNow)
             .has_value();
       }}};
}

// Of the native node.
std::vector<document_reader> NodeReaders() {
  return {
      {"claim",
       R"({"state": "claimed", "number": 1, "request_id": "r",
           "fingerprint": "f", "upstream": "u", "expires_at_ms": 5,
           "deadline_ms": 6})",
       [](const std::string& text) { return DecodeClaim(text).has_value(); }},
      {"deferred request",
       R"({"id": "i", "caller": "c", "route": "r", "method": "GET",
           "target": "/", "headers": [["a", "b"]], "body": "",
           "deadline_ms": 5, "worker": "w"})",
       [](const std::string& text) {
         return DecodeDeferred(text).has_value();
       }},
      {"load report",
       R"({"running": 1, "waiting": 2, "slots": 3, "kv_used_tokens": 4,
           "kv_capacity_tokens": 5, "decode_tokens_per_s": 6.5,
           "prefill_tokens_per_s": 7.5, "leaving": false})",
       [](const std::string& text) {
         return ParseLoadReport(text).has_value();
       }},
      {"edit of a table",
       R"({"revision": 1, "table": "pools", "edit_id": "e", "at_ms": 5,
           "by": "b", "document": "{}"})",
       [](const std::string& text) {
         const std::vector<table_row> rows = {
             {RevisionKey(), 1, text}, {TableKey(table_kind::kPools), 1, text}};
         static_cast<void>(DecodeTables(rows));
         return DecodeEdit({EditKey(1), 1, text}).has_value();
       }},
      {"completion request",
       R"({"model": "m", "prompt": "p", "max_tokens": 5, "stream": true,
           "user": "u"})",
       [](const std::string& text) {
         static_cast<void>(ParseModelName(text));
         try {
           ParseCompletionRequest("/v1/completions", text, rank::kUrgent);
           return true;
         } catch (const config_error&) {
           // Answered with 400.
           return false;
         }
       }},
  };
}

}  // namespace

// Guards against a process that ends, or a list that is no longer followed,
// because of one document in which a value is very deeply nested, out of the
// range of its type or of another type.
TEST_CASE("An odd value in a document that others wrote ends no reader",
          "[adapter][odd_entry]") {
  std::vector<document_reader> readers = RelayReaders();
  for (const document_reader& reader : NodeReaders()) {
    readers.push_back(reader);
  }
  for (const document_reader& reader : readers) {
    DYNAMIC_SECTION(reader.name) {
      CHECK(reader.read(reader.sound));
      for (const std::string& odd : OddValues()) {
        for (const std::string& text : WithOddValue(reader.sound, odd)) {
          INFO(text.substr(0, 300));
          CHECK_NOTHROW(reader.read(text));
        }
      }
      // The next sound document is read as before.
      CHECK(reader.read(reader.sound));
    }
  }
}

// Guards against the end of the process on one datagram that is nested as
// deeply as its size allows.
TEST_CASE("An odd datagram is no report, change or notice",
          "[adapter][odd_entry]") {
  constexpr size_t kDatagramBytes = 65507;
  const std::vector<std::string> odd = {
      Repeat("\x81", kDatagramBytes), Repeat("\xa1\x60", kDatagramBytes / 2),
      Repeat("\x9f", kDatagramBytes),
      // An array of more elements than memory can hold.
      "\x9b\xff\xff\xff\xff\xff\xff\xff\xfe", Repeat("\x7f", kDatagramBytes),
      Repeat("\x5f", kDatagramBytes),
      // As a report, changes and a notice would begin.
      "\x8d\x04" + Repeat("\x7f", kDatagramBytes - 2),
      "\x87\x68" + std::string("changes1") +
          Repeat("\x81", kDatagramBytes - 10),
      "\x85\x66" + std::string("parts1") + Repeat("\x81", kDatagramBytes - 8)};
  for (const std::string& bytes : odd) {
    CHECK_FALSE(DecodeReport(bytes).has_value());
    CHECK_FALSE(DecodeChanges(bytes).has_value());
    CHECK_FALSE(DecodeNotice(bytes).has_value());
  }
}

}  // namespace skylarkcroft

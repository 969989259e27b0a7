#include <catch2/catch.hpp>
#include <string>

#include "skylarkcroft/routing/skylarkcroft_cache_events.h"

namespace skylarkcroft {
namespace {

const upstream_key kEngine{"p", "e"};

prompt_prefix Prefix(int64_t first, int64_t count) {
  prompt_prefix prefix;
  prefix.tokens = count * kPrefixBlockTokens;
  for (int64_t block = 0; block < count; ++block) {
    prefix.block_hashes.push_back(static_cast<uint64_t>(first + block));
  }
  return prefix;
}

TEST_CASE("a page of cache events is parsed and a malformed page is rejected",
          "[routing][events]") {
  const auto page = ParseCacheEvents(
      R"({"events":[{"seq":3,"kind":"stored","prefix_hash":"00000000000000ff","tokens":16},
                    {"seq":5,"kind":"evicted","prefix_hash":"01","tokens":16}],
          "last_seq":6})");
  REQUIRE(page.has_value());
  const cache_event_page expected{{{3, true, 255}, {5, false, 1}}, 6};
  CHECK(*page == expected);
  for (
      const char* body :
      {"", "[]", R"({"events":[]})", R"({"events":1,"last_seq":"x"})",
       R"({"events":[{"seq":1,"kind":"stored","prefix_hash":"zz"}],"last_seq":1})"}) {
    CHECK_FALSE(ParseCacheEvents(body).has_value());
  }
}

TEST_CASE("stored and evicted blocks change the tracked cache contents",
          "[routing][events]") {
  prefix_tracker prefixes(100);
  const int64_t after =
      ApplyCacheEvents(prefixes, kEngine, 0, {{{1, true, 1}, {2, true, 2}}, 2});
  CHECK(after == 2);
  CHECK(prefixes.CachedTokens(kEngine, Prefix(1, 3)) == 2 * kPrefixBlockTokens);
  CHECK(ApplyCacheEvents(prefixes, kEngine, 2, {{{3, false, 2}}, 3}) == 3);
  CHECK(prefixes.CachedTokens(kEngine, Prefix(1, 3)) == kPrefixBlockTokens);
}

TEST_CASE("a gap of n events drops the n least recently used blocks",
          "[routing][events]") {
  prefix_tracker prefixes(100);
  prefixes.RecordSent(kEngine, Prefix(10, 2));
  prefixes.RecordSent(kEngine, Prefix(20, 2));
  SECTION("inside a page") {
    ApplyCacheEvents(prefixes, kEngine, 4, {{{7, true, 30}}, 7});
  }
  SECTION("at the end of a page") {
    ApplyCacheEvents(prefixes, kEngine, 4, {{}, 6});
  }
  CHECK(prefixes.CachedTokens(kEngine, Prefix(10, 2)) == 0);
  CHECK(prefixes.CachedTokens(kEngine, Prefix(20, 2)) ==
        2 * kPrefixBlockTokens);
}

TEST_CASE("a restart of the event numbering clears the tracked cache contents",
          "[routing][events]") {
  prefix_tracker prefixes(100);
  prefixes.RecordSent(kEngine, Prefix(1, 2));
  CHECK(ApplyCacheEvents(prefixes, kEngine, 9, {{}, 3}) == 0);
  CHECK(prefixes.CachedTokens(kEngine, Prefix(1, 2)) == 0);
}

}  // namespace
}  // namespace skylarkcroft

#include <catch2/catch.hpp>
#include <string>

#include "skylarkcroft/routing/skylarkcroft_prefix_tracker.h"
#include "skylarkcroft/routing/skylarkcroft_prompt_prefix.h"
#include "standins/engine/prompt_blocks.h"

namespace skylarkcroft {
namespace {

std::string Words(const std::string& word, int count) {
  std::string text;
  for (int index = 0; index < count; ++index) {
    text += word + std::to_string(index) + (index % 3 == 0 ? "\n" : "  ");
  }
  return text;
}

const upstream_key kFirst{"pool", "e1"};
const upstream_key kSecond{"pool", "e2"};

TEST_CASE("prompts are hashed in the same way as by the engines",
          "[routing][prefix]") {
  for (const int count : {0, 1, 15, 16, 17, 100}) {
    const std::string prompt = Words("w", count);
    const prompt_prefix actual = HashPrompt(prompt);
    const standin::prompt_blocks expected = standin::SplitPrompt(prompt);
    CHECK(actual.tokens == expected.tokens);
    CHECK(actual.block_hashes == expected.prefix_hashes);
  }
}

TEST_CASE("a sent prompt counts as cached up to the first block that differs",
          "[routing][prefix]") {
  prefix_tracker tracker(100);
  tracker.RecordSent(kFirst, HashPrompt(Words("a", 64)));
  CHECK(tracker.CachedTokens(kFirst, HashPrompt(Words("a", 64))) == 64);
  CHECK(tracker.CachedTokens(
            kFirst, HashPrompt(Words("a", 32) + Words("b", 32))) == 32);
  CHECK(tracker.CachedTokens(kSecond, HashPrompt(Words("a", 64))) == 0);
  tracker.Forget(kFirst);
  CHECK(tracker.CachedTokens(kFirst, HashPrompt(Words("a", 64))) == 0);
}

TEST_CASE("cache events correct the tracked cache contents",
          "[routing][prefix]") {
  prefix_tracker tracker(100);
  const prompt_prefix prefix = HashPrompt(Words("a", 48));
  tracker.RecordSent(kFirst, prefix);
  tracker.RecordEvicted(kFirst, prefix.block_hashes[1]);
  CHECK(tracker.CachedTokens(kFirst, prefix) == 16);
  tracker.RecordStored(kFirst, prefix.block_hashes[1]);
  CHECK(tracker.CachedTokens(kFirst, prefix) == 48);
}

TEST_CASE("the number of blocks tracked per upstream is bounded",
          "[routing][prefix]") {
  prefix_tracker tracker(4);
  tracker.RecordSent(kFirst, HashPrompt(Words("a", 64)));
  tracker.RecordSent(kFirst, HashPrompt(Words("b", 32)));
  CHECK(tracker.CachedTokens(kFirst, HashPrompt(Words("b", 32))) == 32);
  CHECK(tracker.CachedTokens(kFirst, HashPrompt(Words("a", 64))) == 32);
}

}  // namespace
}  // namespace skylarkcroft

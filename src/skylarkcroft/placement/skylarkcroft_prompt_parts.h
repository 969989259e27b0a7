#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_PROMPT_PARTS_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_PROMPT_PARTS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkcroft {

/// A section of a prompt. Parts with the same id consist of the same tokens.
struct prompt_part {
  std::string id;
  int64_t tokens = 0;

  bool operator==(const prompt_part&) const = default;
};

/// Size of a generation request and the parts of its prompt in order. The last
/// part is specific to the request or its session; the parts before it are
/// shared with other requests.
struct generation_shape {
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  std::vector<prompt_part> parts;

  /// Tokens of all parts but the last.
  [[nodiscard]] int64_t SharedTokens() const;
  [[nodiscard]] int64_t TotalTokens() const {
    return prompt_tokens + max_output_tokens;
  }
  /// Id of the last shared part, or of the only part; empty without parts.
  /// Requests with the same key profit from the same upstream's prompt cache.
  [[nodiscard]] std::string AffinityKey() const;

  bool operator==(const generation_shape&) const = default;
};

/// Parses `PROMPT,OUTPUT` token counts and a list `ID:TOKENS,...` of prompt
/// parts. Malformed items are skipped instead of rejected, since the upstream
/// validates the request itself.
generation_shape ParseGenerationShape(std::string_view token_counts,
                                      std::string_view parts);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_PROMPT_PARTS_H_

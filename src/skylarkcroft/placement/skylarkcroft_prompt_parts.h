#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_PROMPT_PARTS_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_PROMPT_PARTS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkcroft {

/// A part of a prompt; parts with the same id hold the same tokens.
struct prompt_part {
  std::string id;
  int64_t tokens = 0;

  bool operator==(const prompt_part&) const = default;
};

/// Size of a generation and the parts of its prompt in order; the last one
/// belongs to the request or its session alone.
struct generation_shape {
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  std::vector<prompt_part> parts;

  [[nodiscard]] int64_t SharedTokens() const;
  [[nodiscard]] int64_t TotalTokens() const {
    return prompt_tokens + max_output_tokens;
  }
  /// Name of the deepest shared part, or of the only part; empty without any.
  [[nodiscard]] std::string AffinityKey() const;

  bool operator==(const generation_shape&) const = default;
};

/// Reads `PROMPT,OUTPUT` and `ID:TOKENS,...`. What cannot be read is left out,
/// since the upstream judges the request itself.
generation_shape ParseGeneration(std::string_view token_counts,
                                 std::string_view parts);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_PROMPT_PARTS_H_

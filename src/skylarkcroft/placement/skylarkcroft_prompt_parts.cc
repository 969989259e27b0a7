#include "skylarkcroft/placement/skylarkcroft_prompt_parts.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace skylarkcroft {
namespace {

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  while (!text.empty() && text.back() == ' ') {
    text.remove_suffix(1);
  }
  return text;
}

std::optional<int64_t> ParseCount(std::string_view text) {
  text = Trim(text);
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0) {
    return std::nullopt;
  }
  return value;
}

std::vector<std::string_view> SplitByCommas(std::string_view text) {
  std::vector<std::string_view> items;
  while (!text.empty()) {
    const size_t comma = std::min(text.find(','), text.size());
    items.push_back(Trim(text.substr(0, comma)));
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return items;
}

}  // namespace

int64_t generation_shape::SharedTokens() const {
  int64_t shared = 0;
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    shared += parts[i].tokens;
  }
  return shared;
}

std::string generation_shape::AffinityKey() const {
  if (parts.empty()) {
    return "";
  }
  return parts[parts.size() < 2 ? 0 : parts.size() - 2].id;
}

generation_shape ParseGenerationShape(std::string_view token_counts,
                                      std::string_view parts) {
  generation_shape shape;
  const std::vector<std::string_view> counts = SplitByCommas(token_counts);
  if (counts.size() == 2) {
    shape.prompt_tokens = ParseCount(counts[0]).value_or(0);
    shape.max_output_tokens = ParseCount(counts[1]).value_or(0);
  }
  for (const std::string_view item : SplitByCommas(parts)) {
    const size_t colon = item.find(':');
    if (colon == std::string_view::npos) {
      continue;
    }
    const std::optional<int64_t> tokens = ParseCount(item.substr(colon + 1));
    if (!tokens.has_value()) {
      continue;
    }
    shape.parts.push_back({std::string(item.substr(0, colon)), *tokens});
  }
  return shape;
}

}  // namespace skylarkcroft

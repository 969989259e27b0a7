#ifndef SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_PROMPT_KEY_H_
#define SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_PROMPT_KEY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/placement/skylarkcroft_prompt_parts.h"
#include "skylarkcroft/routing/skylarkcroft_prompt_prefix.h"

namespace skylarkcroft {

/// Key of a prompt part of one service; all nodes derive the same from its id.
using part_key = uint64_t;

/// The parts of a request's prompt as keys.
struct prompt_key {
  /// Key of the last part, which belongs to the request or its session; the
  /// same for a request and its repeats. 0 without parts.
  part_key request = 0;
  std::vector<part_key> shared;  ///< All parts but the last, in order.

  bool operator==(const prompt_key&) const = default;
};

/// Parts beyond the first kMaxSharedParts shared ones are left out.
constexpr size_t kMaxSharedParts = 16;

prompt_key MakePromptKey(std::string_view service,
                         const generation_shape& shape);

/// The same for a prompt that is known by the hashes of its beginnings: its
/// shared parts are those of 1, 2, 4, 8 and so on blocks.
prompt_key MakePromptKey(std::string_view service, const prompt_prefix& prefix);

/// Hexadecimal, separated by commas, for logs.
std::string ToString(const std::vector<part_key>& parts);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_PROMPT_KEY_H_

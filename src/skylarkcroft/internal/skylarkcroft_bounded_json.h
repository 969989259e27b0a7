#ifndef SKYLARKCROFT_INTERNAL_SKYLARKCROFT_BOUNDED_JSON_H_
#define SKYLARKCROFT_INTERNAL_SKYLARKCROFT_BOUNDED_JSON_H_

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace skylarkcroft {

/// Levels of arrays and objects that a document from outside the process may
/// have. Copying and writing a document call themselves once a level, so that
/// a deeper one could exhaust the stack.
inline constexpr int kMaxJsonNesting = 100;

// Readers of documents that others wrote. They throw nothing: the result is
// discarded (`is_discarded()`) unless the whole text is one well-formed
// document of at most kMaxJsonNesting levels.
[[nodiscard]] nlohmann::json ParseBoundedJson(std::string_view text);
[[nodiscard]] nlohmann::json DecodeBoundedCbor(std::string_view bytes);
[[nodiscard]] nlohmann::json DecodeBoundedMessagePack(std::string_view bytes);

/// Like ParseBoundedJson, but throws json::exception for a malformed text and
/// std::length_error for one of more levels.
[[nodiscard]] nlohmann::json ParseBoundedJsonOrThrow(std::string_view text);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_INTERNAL_SKYLARKCROFT_BOUNDED_JSON_H_

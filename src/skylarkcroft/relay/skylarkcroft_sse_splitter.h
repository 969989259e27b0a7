#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_SSE_SPLITTER_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_SSE_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkcroft {

/// A complete server-sent event as received, with its terminating blank line.
struct raw_sse_event {
  std::string bytes;
  /// Empty if the event has no numeric `id` field.
  std::optional<int64_t> id;

  bool operator==(const raw_sse_event&) const = default;
};

/// Splits a byte stream into complete server-sent events; their bytes are kept
/// as they are.
class sse_splitter {
 public:
  /// Appends `bytes` and returns the events that are now complete.
  std::vector<raw_sse_event> Feed(std::string_view bytes);
  /// Bytes after the last complete event.
  [[nodiscard]] const std::string& remainder() const { return remainder_; }
  /// Memory that the remainder takes, in bytes.
  [[nodiscard]] size_t held_bytes() const { return remainder_.capacity(); }
  /// Drops the remainder and its memory.
  void Clear() { remainder_ = {}; }

 private:
  std::string remainder_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_SSE_SPLITTER_H_

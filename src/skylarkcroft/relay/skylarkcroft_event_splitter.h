#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_EVENT_SPLITTER_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkcroft {

/// A whole event of a stream as it came, with its closing blank line.
struct raw_event {
  std::string bytes;
  std::optional<int64_t> id;

  bool operator==(const raw_event&) const = default;
};

/// Cuts a byte stream into whole server-sent events without changing them.
class event_splitter {
 public:
  /// The events that `bytes` completes.
  std::vector<raw_event> Feed(std::string_view bytes);
  /// What follows the last whole event.
  [[nodiscard]] const std::string& rest() const { return rest_; }
  void Clear() { rest_.clear(); }

 private:
  std::string rest_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_EVENT_SPLITTER_H_

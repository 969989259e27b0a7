#ifndef SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_SUCCESS_MEMORY_H_
#define SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_SUCCESS_MEMORY_H_

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/quarantine/skylarkcroft_prompt_key.h"

namespace skylarkcroft {

/// When requests with each part last ended well. Forgets the parts that were
/// not used for longest once `capacity` is reached.
class success_memory {
 public:
  explicit success_memory(size_t capacity) : half_capacity_(capacity / 2) {}

  void Record(part_key part, time_point at);
  [[nodiscard]] std::optional<time_point> LastSuccess(part_key part) const;
  [[nodiscard]] size_t size() const { return recent_.size() + older_.size(); }

 private:
  size_t half_capacity_;
  /// When `recent_` is full it replaces `older_`.
  std::unordered_map<part_key, time_point> recent_;
  std::unordered_map<part_key, time_point> older_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_SUCCESS_MEMORY_H_

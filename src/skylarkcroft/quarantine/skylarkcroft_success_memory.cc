#include "skylarkcroft/quarantine/skylarkcroft_success_memory.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {

void success_memory::Record(part_key part, time_point at) {
  const time_point latest = std::max(at, LastSuccess(part).value_or(at));
  if (!recent_.contains(part) && recent_.size() >= half_capacity_) {
    older_ = std::exchange(recent_, {});
  }
  recent_[part] = latest;
}

std::optional<time_point> success_memory::LastSuccess(part_key part) const {
  const auto recent = recent_.find(part);
  if (recent != recent_.end()) {
    return recent->second;
  }
  const auto older = older_.find(part);
  return older == older_.end() ? std::nullopt
                               : std::optional<time_point>(older->second);
}

}  // namespace skylarkcroft

#include "skylarkcroft/duties/skylarkcroft_surplus_window.h"

#include <algorithm>

namespace skylarkcroft {

int surplus_window::Record(int surplus, milliseconds span, time_point now) {
  samples_.push_back({now, surplus});
  // One sample of the span's length or more is kept, to show that the whole
  // span is known.
  while (samples_.size() > 1 && now - samples_[1].at >= span) {
    samples_.pop_front();
  }
  if (now - samples_.front().at < span) {
    return 0;
  }
  const auto least = std::min_element(
      samples_.begin(), samples_.end(),
      [](const sample& a, const sample& b) { return a.surplus < b.surplus; });
  return std::max(0, least->surplus);
}

}  // namespace skylarkcroft

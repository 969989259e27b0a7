#include "skylarkcroft/duties/skylarkcroft_duty_calls.h"

#include <numeric>
#include <string_view>

namespace skylarkcroft {

int64_t usage_report::Total() const {
  return std::accumulate(
      counts.begin(), counts.end(), int64_t{0},
      [](int64_t sum, const usage_count& count) { return sum + count.begun; });
}

std::string_view ToString(duty_outcome outcome) {
  switch (outcome) {
    case duty_outcome::kAccepted:
      return "accepted";
    case duty_outcome::kUnavailable:
      return "unavailable";
    case duty_outcome::kRefused:
      return "refused";
    case duty_outcome::kOutdated:
      return "outdated";
    case duty_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace skylarkcroft

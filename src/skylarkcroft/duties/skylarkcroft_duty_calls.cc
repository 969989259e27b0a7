#include "skylarkcroft/duties/skylarkcroft_duty_calls.h"

#include <string_view>

namespace skylarkcroft {

std::string_view ToString(duty_outcome outcome) {
  switch (outcome) {
    case duty_outcome::kAccepted:
      return "accepted";
    case duty_outcome::kUnavailable:
      return "unavailable";
    case duty_outcome::kRefused:
      return "refused";
    case duty_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace skylarkcroft

#include "skylarkcroft/log/skylarkcroft_log_level.h"

#include <array>

namespace skylarkcroft {
namespace {

constexpr std::array<log_level, 5> kLevels = {
    log_level::kTrace, log_level::kDebug, log_level::kInfo, log_level::kWarn,
    log_level::kError};

}  // namespace

std::string_view ToString(log_level level) {
  switch (level) {
    case log_level::kTrace:
      return "trace";
    case log_level::kDebug:
      return "debug";
    case log_level::kInfo:
      return "info";
    case log_level::kWarn:
      return "warn";
    case log_level::kError:
      return "error";
  }
  return "unknown";
}

std::optional<log_level> ParseLogLevel(std::string_view text) {
  for (const log_level level : kLevels) {
    if (ToString(level) == text) {
      return level;
    }
  }
  return std::nullopt;
}

}  // namespace skylarkcroft

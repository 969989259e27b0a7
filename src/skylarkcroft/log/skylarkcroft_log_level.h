#ifndef SKYLARKCROFT_LOG_SKYLARKCROFT_LOG_LEVEL_H_
#define SKYLARKCROFT_LOG_SKYLARKCROFT_LOG_LEVEL_H_

#include <optional>
#include <string_view>

namespace skylarkcroft {

/// Severity of a log entry, rising.
enum class log_level { kTrace, kDebug, kInfo, kWarn, kError };

std::string_view ToString(log_level level);

/// Level named by `text` in lower case; empty for any other text.
std::optional<log_level> ParseLogLevel(std::string_view text);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LOG_SKYLARKCROFT_LOG_LEVEL_H_

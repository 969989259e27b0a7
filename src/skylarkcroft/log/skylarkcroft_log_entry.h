#ifndef SKYLARKCROFT_LOG_SKYLARKCROFT_LOG_ENTRY_H_
#define SKYLARKCROFT_LOG_SKYLARKCROFT_LOG_ENTRY_H_

#include <string>
#include <vector>

#include "skylarkcroft/log/skylarkcroft_log_level.h"

namespace skylarkcroft {

/// A further member of a log line.
struct log_field {
  std::string key;
  std::string value;

  bool operator==(const log_field&) const = default;
};

/// One line of the log. Empty members are left out of the line.
struct log_entry {
  log_level level = log_level::kInfo;
  std::string message{};
  std::string request_id{};
  std::string caller{};
  std::string rank{};
  std::string upstream{};
  std::vector<log_field> fields{};

  bool operator==(const log_entry&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LOG_SKYLARKCROFT_LOG_ENTRY_H_

#ifndef SKYLARKCROFT_LOG_SKYLARKCROFT_LOGGER_H_
#define SKYLARKCROFT_LOG_SKYLARKCROFT_LOGGER_H_

#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <memory>

#include "skylarkcroft/log/skylarkcroft_log_entry.h"
#include "skylarkcroft/log/skylarkcroft_log_level.h"

namespace skylarkcroft {

class event_loop;

/// Where a logger writes and how much it may hold back.
struct log_options {
  int fd = STDERR_FILENO;
  log_level level = log_level::kInfo;
  size_t max_queued_bytes = 1024 * 1024;

  bool operator==(const log_options&) const = default;
};

/// Writes log entries as JSON lines through log4cxx. Neither blocks nor starts
/// a thread: lines wait in a bounded queue until the descriptor takes them, and
/// lines beyond the bound are dropped and counted.
class logger {
 public:
  /// `loop` must outlive the logger.
  logger(event_loop& loop, const log_options& options);
  /// Writes what the descriptor takes at once; the rest is lost.
  ~logger();
  logger(const logger&) = delete;
  logger& operator=(const logger&) = delete;

  void Log(const log_entry& entry);
  /// True when an entry of `level` would be written.
  [[nodiscard]] bool IsEnabled(log_level level) const;
  void SetLevel(log_level level);
  [[nodiscard]] log_level level() const;
  /// Writes what the descriptor takes at once.
  void Flush();

  [[nodiscard]] uint64_t dropped_lines() const;
  [[nodiscard]] size_t queued_bytes() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LOG_SKYLARKCROFT_LOGGER_H_

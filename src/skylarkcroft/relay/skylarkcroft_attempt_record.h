#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_ATTEMPT_RECORD_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_ATTEMPT_RECORD_H_

#include <cstddef>
#include <optional>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/log/skylarkcroft_log_entry.h"

namespace skylarkcroft {

/// What is known of an attempt at an upstream that failed, for its log line.
struct attempt_record {
  std::string request_id{};
  /// Names the request and its repeats at all nodes, in quarantines too.
  std::string request_key{};
  std::string service{};
  std::string upstream{};
  std::string version{};  ///< Software version of the upstream.
  std::string failure{};  ///< Name of the attempt_failure.
  bool head_received = false;
  /// How the upstream framed its answer: `length`, `chunked`, `connection`, or
  /// empty before its head.
  std::string framing{};
  /// Bytes after the last whole event of a stream.
  size_t partial_event_bytes = 0;
  /// The answer ended with its connection, and the upstream refused another one
  /// afterwards.
  bool upstream_ended = false;
  /// Time from sending the request to the failure.
  milliseconds elapsed{0};
  /// Time from the first output to the end of the output; empty without output.
  std::optional<milliseconds> output_age{};
  /// Ids of the prompt's parts in order, separated by commas.
  std::string prompt_parts{};
  /// Keys of the shared ones, by which quarantines name them.
  std::string part_keys{};

  bool operator==(const attempt_record&) const = default;
};

log_entry ToLogEntry(const attempt_record& record);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_ATTEMPT_RECORD_H_

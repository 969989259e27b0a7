#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_REQUEST_RECORD_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_REQUEST_RECORD_H_

#include <cstdint>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/log/skylarkcroft_log_entry.h"

namespace skylarkcroft {

/// What decided one client request, for its log line.
struct request_record {
  std::string request_id{};
  std::string route{};
  std::string service{};
  std::string workspace{};
  std::string upstream{};  ///< The last one used.
  int status = 0;          ///< 0 where the client left.
  std::string reason{};
  std::string last_failure{};
  int64_t tables_version = 0;
  milliseconds tables_age{0};
  int upstreams_used = 0;
  int connect_tries = 0;
  size_t candidates = 0;
  int running_there = 0;
  int64_t unread_there = 0;
  milliseconds expected_first{0};
  milliseconds peer_age{0};
  milliseconds time_given{0};
  /// Tokens that the request takes of the workspace's allotment, and what was
  /// left of it as this node knew.
  double allotment_amount = 0;
  double allotment_level = 0;
  milliseconds first_byte{0};
  /// Longest time between two pieces of the upstream's answer.
  milliseconds longest_pause{0};
  milliseconds total{0};

  bool operator==(const request_record&) const = default;
};

log_entry ToLogEntry(const request_record& record);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_REQUEST_RECORD_H_

#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_REQUEST_RECORD_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_REQUEST_RECORD_H_

#include <cstdint>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/log/skylarkcroft_log_entry.h"

namespace skylarkcroft {

/// The inputs and the outcome of one client request, for its log line.
struct request_record {
  std::string request_id{};
  /// Names the request and its repeats at all nodes; empty if it was rejected
  /// before its service was chosen.
  std::string request_key{};
  std::string route{};
  std::string service{};
  std::string workspace{};
  std::string upstream{};  ///< The last one chosen.
  int status = 0;          ///< HTTP status; 0 if the client left.
  std::string reason{};
  std::string last_failure{};  ///< Name of the last attempt_failure.
  /// What followed the last silence of an upstream beyond its limit: `replaced`
  /// by an attempt at another upstream, or why none was sent. Empty without
  /// one.
  std::string silence{};
  int64_t tables_version = 0;
  milliseconds tables_age{0};
  /// Attempts that failed after the request was sent.
  int upstreams_used = 0;
  int connect_tries = 0;  ///< Attempts that failed to connect.
  size_t candidates = 0;  ///< Upstreams considered for the last attempt.
  /// Load estimate of the chosen upstream: requests running and prompt tokens
  /// not yet processed.
  int running_there = 0;
  int64_t unread_there = 0;
  milliseconds expected_first{0};  ///< Expected time to the first token.
  milliseconds peer_age{0};        ///< Age of the oldest peer report used.
  milliseconds time_given{0};      ///< Time from arrival to the deadline.
  /// Tokens that the request needs of the workspace's quota, and the tokens
  /// left in it before the request, as far as this node knew.
  double allotment_amount = 0;
  double allotment_level = 0;
  /// Tokens that had to be left: more than the request needs where some are
  /// kept for more urgent or smaller requests.
  double allotment_required = 0;
  /// Part of the service's capacity that was taken, and up to which the request
  /// would have been sent; 0 where the service had room.
  double service_fill = 0;
  double service_max_fill = 0;
  milliseconds retry_after{0};  ///< As told to the client; 0 if not.
  /// What the decision on the tokens was based on (quota_source), and the
  /// estimated demand over all nodes in tokens a second.
  std::string allotment_source;
  double allotment_demand = 0;
  /// Time from arrival to the start of execution, as seen by this node.
  milliseconds first_byte{0};
  /// Longest pause between two reads from the upstream's response.
  milliseconds longest_pause{0};
  milliseconds total{0};
  /// How the upstream framed the last answer: `length`, `chunked`,
  /// `connection`, or empty before its head.
  std::string upstream_framing{};
  /// What showed whether the last answer that ended with its connection was
  /// whole: EndShownBy(). Empty for others.
  std::string end_shown_by{};
  /// Events of a stream that were sent to the client.
  int64_t events = 0;
  /// Software version of the last upstream chosen.
  std::string version{};
  /// For a stream that the client takes up again: the request that began it,
  /// and the last event that the client has. Empty for others.
  std::string resumes{};
  std::string resumed_after{};

  bool operator==(const request_record&) const = default;
};

/// The log line; a warning for statuses from 500.
log_entry ToLogEntry(const request_record& record);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_REQUEST_RECORD_H_

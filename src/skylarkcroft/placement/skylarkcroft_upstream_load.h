#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_LOAD_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_LOAD_H_

#include <array>
#include <cstdint>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_slowness_evidence.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_health.h"

namespace skylarkcroft {

/// Number of urgency levels that upstreams distinguish; 0 is the most urgent.
inline constexpr int kUrgencyLevels = 10;

/// Load of one or more nodes at one upstream.
struct upstream_load {
  /// Requests in flight.
  int running = 0;
  /// Prompt tokens sent and not yet processed, by urgency of their requests.
  std::array<int64_t, kUrgencyLevels> prefill_tokens{};
  /// Tokens that the requests may come to hold in the upstream's KV cache.
  int64_t kv_cache_tokens = 0;

  bool operator==(const upstream_load&) const = default;
};

void AddLoad(const upstream_load& part, upstream_load& sum);
void SubtractLoad(const upstream_load& part, upstream_load& sum);

/// Prompt tokens that an upstream processes before those of a new request of
/// `urgency`.
int64_t PrefillTokensAhead(const upstream_load& load, int urgency);

/// Short identifier of an upstream in reports between nodes: a hash of its id.
uint32_t UpstreamKey(const std::string& id);

/// Upper bound of upstream_report::time_since_byte; longer times are reported
/// as this.
inline constexpr milliseconds kMaxTimeSinceByte{10000};

/// What one node reports about one upstream.
struct upstream_report {
  uint32_t key = 0;  ///< UpstreamKey() of the upstream's id.
  upstream_load load;
  decayed_outcomes outcomes;
  /// Time since the node last received a byte from the upstream, at most
  /// kMaxTimeSinceByte.
  milliseconds time_since_byte = kMaxTimeSinceByte;
  /// What the node itself has measured of the engine's speed.
  speed_evidence speed = {};
  /// What the node's answers have added to the limit of an upstream that has
  /// just started, in requests.
  double pace_credit = 0;

  bool operator==(const upstream_report&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_LOAD_H_

#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_LOAD_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_LOAD_H_

#include <array>
#include <cstdint>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_belief.h"

namespace skylarkcroft {

/// Urgencies that upstreams tell apart, 0 the most urgent.
inline constexpr int kUrgencies = 10;

/// Work of one or more senders at one upstream.
struct upstream_load {
  int running = 0;
  /// Prompt tokens sent and not yet read, by urgency of their requests.
  std::array<int64_t, kUrgencies> unread_tokens{};
  /// Tokens that the requests may come to hold in memory.
  int64_t memory_tokens = 0;

  bool operator==(const upstream_load&) const = default;
};

void AddLoad(const upstream_load& part, upstream_load& sum);
void SubtractLoad(const upstream_load& part, upstream_load& sum);

/// Tokens that an upstream reads before those of a new request of `urgency`.
int64_t TokensAhead(const upstream_load& load, int urgency);

/// Short name of an upstream between nodes.
uint32_t UpstreamKey(const std::string& id);

/// Longest quiet time that reports tell apart.
inline constexpr milliseconds kLongestQuiet{10000};

/// What one peer says of one upstream, named by its UpstreamKey().
struct peer_upstream_view {
  uint32_t upstream = 0;
  upstream_load load;
  outcome_sums outcomes;
  /// Time since the peer last got a byte from it, at most kLongestQuiet.
  milliseconds quiet = kLongestQuiet;

  bool operator==(const peer_upstream_view&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_LOAD_H_

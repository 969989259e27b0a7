#ifndef SKYLARKCROFT_ROUTING_SKYLARKCROFT_CACHE_EVENTS_H_
#define SKYLARKCROFT_ROUTING_SKYLARKCROFT_CACHE_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "skylarkcroft/routing/skylarkcroft_prefix_tracker.h"

namespace skylarkcroft {

/// One change of an engine's prefix cache.
struct cache_event {
  int64_t seq = 0;
  /// True when the block was stored, false when it was evicted.
  bool stored = true;
  uint64_t block_hash = 0;

  bool operator==(const cache_event&) const = default;
};

/// Response to `GET /events?after=SEQ`, ordered by sequence number.
struct cache_event_page {
  std::vector<cache_event> events;
  /// Highest sequence number assigned so far, including lost events.
  int64_t last_seq = 0;

  bool operator==(const cache_event_page&) const = default;
};

/// Parses the body of a `GET /events` response; empty when it is malformed.
std::optional<cache_event_page> ParseCacheEvents(std::string_view body);

/// Applies a page requested with `after` to the tracked cache contents of
/// `target`, and returns the sequence number for the next request. Sequence
/// numbers missing from the page count as lost events. When the engine's
/// numbering has restarted, the engine has restarted too: its tracked contents
/// are dropped and 0 is returned.
int64_t ApplyCacheEvents(prefix_tracker& prefixes, const upstream_key& target,
                         int64_t after, const cache_event_page& page);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_CACHE_EVENTS_H_

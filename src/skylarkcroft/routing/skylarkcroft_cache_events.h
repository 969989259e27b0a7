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
  /// False for an eviction.
  bool stored = true;
  uint64_t block_hash = 0;

  bool operator==(const cache_event&) const = default;
};

/// Answer to `GET /events?after=SEQ`, in the order of its numbers.
struct cache_event_page {
  std::vector<cache_event> events;
  /// Highest number given out so far, those of lost events included.
  int64_t last_seq = 0;

  bool operator==(const cache_event_page&) const = default;
};

/// Reads the body of `GET /events`; empty when it is malformed.
std::optional<cache_event_page> ParseCacheEvents(std::string_view body);

/// Applies a page that was asked for with `after` to what is believed of
/// `target`, and returns the number to ask after next. Numbers missing from the
/// page are lost events. An engine whose numbers start again has started
/// afresh, and all that was believed of it is forgotten.
int64_t ApplyCacheEvents(prefix_tracker& prefixes, const upstream_key& target,
                         int64_t after, const cache_event_page& page);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_CACHE_EVENTS_H_

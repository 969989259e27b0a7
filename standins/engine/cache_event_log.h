#ifndef SKYLARKCROFT_STANDINS_ENGINE_CACHE_EVENT_LOG_H_
#define SKYLARKCROFT_STANDINS_ENGINE_CACHE_EVENT_LOG_H_

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "standins/engine/prefix_cache.h"

namespace skylarkcroft::standin {

/// A cache change under its sequence number.
struct cache_event {
  int64_t seq = 0;
  cache_change change;

  bool operator==(const cache_event&) const = default;
};

/// What a reader of the log gets.
struct cache_event_page {
  std::vector<cache_event> events;
  /// Highest number that is visible, that of a lost event included.
  int64_t last_seq = 0;
};

/// Publishes cache changes late and with gaps: a lost event uses up its number.
/// Only the latest events are kept.
class cache_event_log {
 public:
  /// `loss` is the probability that an event is lost.
  cache_event_log(milliseconds lag, double loss, uint64_t seed)
      : lag_(lag), lost_(loss), generator_(seed) {}

  void Add(const std::vector<cache_change>& changes, time_point now);
  /// The visible events numbered above `after`.
  [[nodiscard]] cache_event_page After(int64_t after, time_point now) const;

 private:
  struct entry {
    cache_event event;
    time_point added;
    bool lost;
  };

  milliseconds lag_;
  std::bernoulli_distribution lost_;
  std::mt19937_64 generator_;
  int64_t last_seq_ = 0;
  std::deque<entry> entries_;
};

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_ENGINE_CACHE_EVENT_LOG_H_

#ifndef SKYLARKCROFT_STANDINS_ENGINE_ENGINE_REPORT_H_
#define SKYLARKCROFT_STANDINS_ENGINE_ENGINE_REPORT_H_

#include <cstdint>
#include <map>
#include <string>

#include "standins/engine/cache_event_log.h"
#include "standins/engine/order_state.h"

namespace skylarkcroft::standin {

/// One sample of an engine's load, the answer of `GET /load`.
struct load_report {
  int64_t seq = 0;
  /// Milliseconds since the Unix epoch.
  int64_t sampled_at_ms = 0;
  int running = 0;
  int waiting = 0;
  int slots = 0;
  int64_t kv_used_tokens = 0;
  int64_t kv_capacity_tokens = 0;
  /// Tokens generated a second, over the last sampling period.
  double decode_tokens_per_s = 0;
  /// Prompt tokens that the engine can take in a second.
  double prefill_tokens_per_s = 0;
  engine_assignment assignment;
  std::string availability_zone;
  bool leaving = false;

  bool operator==(const load_report&) const = default;
};

/// Counts since the start, the answer of `GET /admin/stats`.
struct engine_stats {
  int64_t requests = 0;
  /// Tokens computed as prefill.
  int64_t prefill_tokens = 0;
  /// Tokens that the prefix cache or an import spared.
  int64_t cached_tokens = 0;
  int64_t generated_tokens = 0;
  int64_t resumed = 0;
  int64_t cancelled = 0;
  int64_t exported = 0;
  int64_t imported = 0;
  /// Times that each request id has got a slot.
  std::map<std::string, int64_t> runs;
  int max_running = 0;
  int64_t received_while_leaving = 0;

  bool operator==(const engine_stats&) const = default;
};

std::string ToJson(const load_report& report);
std::string ToJson(const engine_stats& stats);
std::string ToJson(const cache_event_page& page);
/// The answer of `GET /orders`.
std::string ToJson(const order_state& orders, time_point now);

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_ENGINE_ENGINE_REPORT_H_

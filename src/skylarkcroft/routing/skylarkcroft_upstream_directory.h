#ifndef SKYLARKCROFT_ROUTING_SKYLARKCROFT_UPSTREAM_DIRECTORY_H_
#define SKYLARKCROFT_ROUTING_SKYLARKCROFT_UPSTREAM_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/attempt/skylarkcroft_attempt_result.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/tables/skylarkcroft_pools_table.h"

namespace skylarkcroft {

/// Load as an upstream reported it.
struct load_report {
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t slots = 0;
  int64_t kv_used_tokens = 0;
  int64_t kv_capacity_tokens = 0;
  double decode_tokens_per_s = 0;
  double prefill_tokens_per_s = 0;
  bool leaving = false;

  bool operator==(const load_report&) const = default;
};

/// What this node knows of one upstream.
struct upstream_state {
  upstream spec;
  /// Requests this node has on it now.
  int64_t in_flight = 0;
  std::optional<load_report> report;
  time_point reported_at{};
  /// Requests this node has sent since `reported_at`.
  int64_t sent_since_report = 0;
  /// Gets no new requests, for the rest of its incarnation.
  bool leaving = false;
  int64_t consecutive_failures = 0;
  std::optional<time_point> ejected_until;
  time_point known_since{};
};

/// The upstreams of all pools as this node sees them.
class upstream_directory {
 public:
  /// Takes over the pools of a new table; upstreams that stay, by pool, name
  /// and address, keep what is known of them.
  void SetPools(const pools_table& pools, time_point now);

  /// Empty for an unknown pool. References are valid until SetPools.
  [[nodiscard]] const std::vector<upstream_state>& InPool(
      const std::string& pool_name) const;
  [[nodiscard]] std::vector<std::string> PoolNames() const;
  /// kService for an unknown pool.
  [[nodiscard]] pool_kind KindOf(const std::string& pool_name) const;

  void NoteSent(const std::string& pool_name, const std::string& upstream_name,
                time_point now);
  void NoteEnded(const std::string& pool_name, const std::string& upstream_name,
                 attempt_outcome outcome, time_point now);
  void NoteLoad(const std::string& pool_name, const std::string& upstream_name,
                const load_report& report, time_point now);
  /// Marks the upstream at `address` as leaving, in every pool.
  void NoteLeaving(const endpoint& address);

  /// Sum of the slots of upstreams that take new requests.
  [[nodiscard]] int64_t OpenSlots(const std::string& pool_name,
                                  time_point now) const;

 private:
  upstream_state* Find(const std::string& pool_name,
                       const std::string& upstream_name);

  std::map<std::string, std::vector<upstream_state>> pools_;
  std::map<std::string, pool_kind> kinds_;
};

/// True when `state` may get a new request at `now`.
bool TakesRequests(const upstream_state& state, time_point now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_UPSTREAM_DIRECTORY_H_

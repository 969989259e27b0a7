#ifndef SKYLARKCROFT_ROUTING_SKYLARKCROFT_UPSTREAM_DIRECTORY_H_
#define SKYLARKCROFT_ROUTING_SKYLARKCROFT_UPSTREAM_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/attempt/skylarkcroft_attempt_result.h"
#include "skylarkcroft/http/skylarkcroft_announcement.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_key.h"
#include "skylarkcroft/tables/skylarkcroft_pools_table.h"

namespace skylarkcroft {

/// Load that an upstream reported in `GET /load`.
struct load_report {
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t slots = 0;
  int64_t kv_used_tokens = 0;
  int64_t kv_capacity_tokens = 0;
  double decode_tokens_per_s = 0;
  double prefill_tokens_per_s = 0;
  bool is_draining = false;

  bool operator==(const load_report&) const = default;
};

/// What this node knows about one upstream.
struct upstream_state {
  upstream spec;
  /// Requests of this node that are in flight at the upstream.
  int64_t in_flight = 0;
  std::optional<load_report> report;
  time_point reported_at{};
  /// Requests that this node has sent since `reported_at`.
  int64_t sent_since_report = 0;
  /// Gets no new requests for the rest of its lifetime; later load reports do
  /// not reset it.
  bool is_draining = false;
  /// Consecutive attempts that ended with a failure response.
  int64_t failed_responses = 0;
  /// Consecutive attempts that ended without a response: the connection could
  /// not be opened, broke, or timed out.
  int64_t failed_connections = 0;
  /// True until a probe has decided whether the upstream caused
  /// `failed_connections`. It still accepts requests.
  bool suspect = false;
  std::optional<time_point> ejected_until;
  /// True from an ejection until a probe has passed.
  bool needs_probe = false;
  /// Consecutive ejections, including those prolonged by a failed probe; each
  /// doubles the duration of the next. Reset after a longer time without
  /// an ejection.
  int64_t ejections = 0;
  /// The upstream has asked for no requests before this time.
  std::optional<time_point> paused_until;
  /// Time of the last response that stated that the request was not run.
  std::optional<time_point> refused_at;
  /// Start of the slow start: when the upstream was added or reinstated after
  /// an ejection.
  time_point active_since{};
};

/// Change of an upstream's state, counted in the metrics.
enum class upstream_event {
  kEjected,
  kEjectionWithheld,  ///< Too many of its pool were ejected already.
  kProbePassed,
  kProbeFailed,
  kReinstated,
};

/// Lower-case name of `event`, used in the metrics.
std::string_view ToString(upstream_event event);

/// An upstream that is due for a health probe.
struct probe_target {
  upstream_key key;
  endpoint address;

  bool operator==(const probe_target&) const = default;
};

/// When no upstream of a pool has accepted requests for this time, its requests
/// are rejected instead of queued.
inline constexpr milliseconds kUnavailableTimeout{2000};

/// The upstreams of all pools, with their state as this node sees it.
class upstream_directory {
 public:
  /// Replaces the pools by those of a new table. An upstream with the same
  /// pool, name and address keeps its state.
  void SetPools(const pools_table& pools, time_point now);

  /// Empty for an unknown pool. The reference is valid until SetPools.
  [[nodiscard]] const std::vector<upstream_state>& UpstreamsInPool(
      const std::string& pool_name) const;
  [[nodiscard]] std::vector<std::string> PoolNames() const;
  /// kService for an unknown pool.
  [[nodiscard]] pool_kind KindOf(const std::string& pool_name) const;

  void RecordSent(const std::string& pool_name,
                  const std::string& upstream_name, time_point now);
  void RecordOutcome(const std::string& pool_name,
                     const std::string& upstream_name, attempt_outcome outcome,
                     time_point now);
  void RecordLoad(const std::string& pool_name,
                  const std::string& upstream_name, const load_report& report,
                  time_point now);
  /// Upstreams due for a probe: suspects, and ejected upstreams whose ejection
  /// time has passed.
  [[nodiscard]] std::vector<probe_target> ProbesDue(time_point now) const;
  /// `passed` is true when the upstream responded on a new connection.
  void RecordProbe(const upstream_key& key, bool passed, time_point now);
  /// Sets the function that is called on each upstream event.
  void SetEventHandler(std::function<void(upstream_event)> handler);
  /// Marks the upstream at `address` as draining, in every pool.
  void OnReclaimNotice(const endpoint& address);
  /// Takes in what the upstream at `address` tells of itself, in every pool.
  /// Returns whether it is new that it leaves or wants a pause.
  bool OnAnnouncement(const endpoint& address, const announcement& told,
                      time_point now);

  /// False while the first load report of any upstream is awaited.
  [[nodiscard]] bool AllReported(time_point now) const;

  /// Sum of the slots of the upstreams that accept requests.
  [[nodiscard]] int64_t AvailableSlots(const std::string& pool_name,
                                       time_point now) const;

  /// Most requests that may be in flight in the pool at once: the slots of the
  /// upstreams that accept requests. For a pool that has been unavailable for
  /// kUnavailableTimeout, all its slots, so that queued requests are started
  /// and then rejected.
  [[nodiscard]] int64_t AdmissionCapacity(const std::string& pool_name,
                                          time_point now) const;

  /// Records which pools have no upstream that accepts requests. Has to be
  /// called every few hundred milliseconds.
  void UpdateUnavailablePools(time_point now);
  /// True when no upstream of the pool has accepted requests for `limit`.
  [[nodiscard]] bool UnavailableFor(const std::string& pool_name,
                                    duration limit, time_point now) const;

 private:
  void Eject(const std::string& pool_name, upstream_state& state,
             time_point now);
  [[nodiscard]] bool CanEject(const std::string& pool_name) const;
  void NotifyEvent(upstream_event event) const;
  upstream_state* Find(const std::string& pool_name,
                       const std::string& upstream_name);

  std::map<std::string, std::vector<upstream_state>> pools_;
  std::map<std::string, pool_kind> kinds_;
  /// Pools without an upstream that accepts requests, with the time since which
  /// they have had none.
  std::map<std::string, time_point> unavailable_since_;
  std::function<void(upstream_event)> on_event_;
};

/// Longest wait for the first load report of a new upstream; afterwards the
/// upstream is treated as not draining.
inline constexpr milliseconds kFirstReportTimeout{1000};

/// True while it is unknown whether `state` is draining: it has sent no load
/// report and kFirstReportTimeout has not passed.
bool AwaitsFirstReport(const upstream_state& state, time_point now);

/// True while `state` has asked for no requests.
bool IsPaused(const upstream_state& state, time_point now);

/// True when `state` may get a new request at `now`.
bool AcceptsRequests(const upstream_state& state, time_point now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_UPSTREAM_DIRECTORY_H_

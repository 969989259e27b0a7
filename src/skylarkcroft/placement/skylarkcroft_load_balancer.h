#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_LOAD_BALANCER_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_LOAD_BALANCER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_engine_costs.h"
#include "skylarkcroft/placement/skylarkcroft_load_balancer_parameters.h"
#include "skylarkcroft/placement/skylarkcroft_peer_loads.h"
#include "skylarkcroft/placement/skylarkcroft_prompt_parts.h"
#include "skylarkcroft/placement/skylarkcroft_service_room.h"
#include "skylarkcroft/placement/skylarkcroft_service_time_stats.h"
#include "skylarkcroft/placement/skylarkcroft_store_returns.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_announcements.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_entry.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_health.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_load.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_paces.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_speeds.h"
#include "skylarkcroft/placement/skylarkcroft_water_filling.h"

namespace skylarkcroft {

/// Load that one request adds to an upstream.
struct request_work {
  int urgency = 0;  ///< 0 is the most urgent.
  int64_t prefill_tokens = 0;
  int64_t kv_cache_tokens = 0;

  bool operator==(const request_work&) const = default;
};

/// The properties of a request that decide its placement.
struct placement_request {
  std::string service;
  std::string availability_zone;
  generation_shape shape;
  int urgency = 0;
  /// KV cache capacity of one engine of the pool, in tokens; 0 for services
  /// without engines.
  int64_t cache_tokens = 0;
  std::vector<std::string> tried;  ///< Ids of upstreams already attempted.
  /// Random number, uniform in [0, 1); spreads requests over upstreams of
  /// similar cost.
  double draw = 0;
  /// Whether an upstream may be chosen; empty if all may.
  std::function<bool(const upstream_entry&)> allows{};

  [[nodiscard]] bool MayUse(const upstream_entry& upstream) const {
    return upstream.service == service &&
           (allows == nullptr || allows(upstream));
  }
};

/// The upstream chosen for a request, with the inputs of the decision.
struct placement {
  upstream_entry upstream;
  /// Expected time to the first token; 0 for plain services.
  milliseconds expected_first{0};
  /// The same if the upstream were as fast as the median of its service.
  milliseconds expected_first_at_median{0};
  int running = 0;             ///< Requests in flight at the upstream.
  int64_t prefill_tokens = 0;  ///< Prefill backlog ahead of the request.
  /// The shared prompt parts are expected in the upstream's cache.
  bool parts_cached = false;
  /// All batch slots that the engine's speed allows, or the planned KV cache,
  /// are used up.
  bool full = false;
  request_work work;
  size_t candidates = 0;     ///< Upstreams among which it was chosen.
  milliseconds peer_age{0};  ///< Age of the oldest report counted.
};

/// Load balancer: holds all upstreams with their load and health estimates and
/// chooses an upstream for each request. Does no I/O.
class load_balancer {
 public:
  explicit load_balancer(const load_balancer_parameters& parameters);

  /// Replaces the list of upstreams. Upstreams that are not in `entries` are
  /// removed as by Remove().
  void Reset(const std::vector<upstream_entry>& entries, time_point now);
  void Put(const upstream_entry& entry, time_point now);
  /// Lets a draining upstream take requests that are expected to end before
  /// `serves_until`.
  void AllowWhileDraining(const std::string& id, time_point serves_until);
  /// Removes an upstream that has not announced that it drains. Such a one
  /// either drains unannounced or has failed: if it has answered recently, it
  /// is kept as draining until `serves_until`.
  void RemoveUnannounced(const std::string& id, time_point serves_until,
                         time_point now);
  /// Removes the upstream, or keeps it until DropRemoved() if the store is or
  /// was recently unreachable and the upstream is not draining.
  void Remove(const std::string& id, time_point now);
  /// Records whether the store is reachable.
  void OnStoreContact(bool reachable, time_point now) {
    store_returns_.OnContact(reachable, !upstreams_.empty(), now);
  }
  /// The store has come back from an older copy, which may lack upstreams that
  /// will register again.
  void OnStoreRestored(time_point now) { store_returns_.OnRestored(now); }
  /// The store responded to this node or to a peer at `at`, so entries that are
  /// removed later have not lapsed because the store was away.
  void OnStoreResponse(time_point at) { store_returns_.OnResponse(at); }
  /// The upstream has told in a response that it leaves. From `serves_until` on
  /// it gets no requests, whatever the store lists. `upstream` is the entry as
  /// it was when the request was sent. Returns whether this is new.
  bool RecordLeaving(const upstream_entry& upstream, time_point serves_until,
                     time_point now);
  /// The upstream has stated that it exits, whatever it runs then: at
  /// `exits_at` at the earliest.
  void RecordExit(const upstream_entry& upstream, time_point exits_at,
                  time_point now);
  /// From when on the process of `upstream` may exit; empty if it has not
  /// stated it. Known after its entry was removed as well.
  [[nodiscard]] std::optional<time_point> ExitsAt(
      const upstream_entry& upstream) const;
  /// The upstream has told in a response that it wants no requests before
  /// `until`.
  void RecordPause(const upstream_entry& upstream, time_point until,
                   time_point now);
  /// When the first upstream of `service` that has asked for a pause takes
  /// requests again; empty if none has.
  [[nodiscard]] std::optional<time_point> FirstPauseEnd(
      const std::string& service, time_point now) const;
  /// Drops removed upstreams that did not register again in time; returns their
  /// ids.
  std::vector<std::string> DropRemoved(time_point now);

  [[nodiscard]] const upstream_entry* Find(const std::string& id) const;
  /// Whether the upstream is not listed, or drains according to the store or to
  /// itself.
  [[nodiscard]] bool IsLeaving(const std::string& id) const;
  /// Number of upstreams of `service` that take requests.
  [[nodiscard]] size_t UsableCount(const std::string& service) const;
  [[nodiscard]] std::vector<upstream_entry> Entries() const;

  /// The upstream to send the request to; empty if no upstream of the service
  /// takes requests.
  [[nodiscard]] std::optional<placement> Choose(
      const placement_request& request, time_point now) const;

  /// Records that a request was sent to the upstream.
  void RecordRequestSent(const std::string& id, const request_work& work,
                         const generation_shape& shape, time_point now);
  /// Records that the response has started, so that the prefill is done.
  void RecordResponseStart(const std::string& id, const request_work& work,
                           time_point now);
  /// Records that the first event of the placed request's stream has arrived
  /// `waited` after it was sent.
  void RecordFirstEvent(const placement& placed, milliseconds waited,
                        time_point now);
  /// Records that `count` further events of one stream have arrived, `elapsed`
  /// after the event before.
  void RecordEvents(const upstream_entry& upstream, duration elapsed,
                    size_t count, time_point now);
  /// Estimates the engines' speeds anew if that is due; returns the estimates
  /// that have changed noticeably.
  std::vector<speed_change> UpdateSpeeds(time_point now);
  /// Computes the limits of upstreams that have just started or returned, if
  /// that is due; returns those that have begun or ended.
  std::vector<pace_change> UpdatePaces(time_point now);
  /// The limit on the requests of all nodes at an upstream that has just
  /// started or returned; empty when there is none.
  [[nodiscard]] std::optional<double> PaceLimit(const std::string& id) const {
    return paces_.Limit(UpstreamKey(id));
  }
  /// Estimated slowness of the upstream relative to the median of its service.
  [[nodiscard]] engine_slowness SlownessOf(const std::string& id) const;
  /// Records that a request has ended; `begun` says whether its response had
  /// started.
  void RecordRequestEnded(const std::string& id, const request_work& work,
                          bool begun, upstream_outcome outcome, time_point now);
  /// A request at the upstream has been without a byte for longer than a
  /// working upstream needs, and goes on.
  void RecordSilence(const std::string& id, time_point now);
  /// Records that this node received a byte from the upstream.
  void RecordByte(const std::string& id, time_point now);
  /// Whether this node has received a byte from the upstream after `since`.
  [[nodiscard]] bool HasByteSince(const std::string& id,
                                  time_point since) const;
  /// Time since this node last received a byte from the upstream or, if no
  /// request was in flight there, since it sent one. The maximum for an unknown
  /// upstream.
  [[nodiscard]] milliseconds TimeSinceOwnByte(const std::string& id,
                                              time_point now) const;
  /// The same over this node and, as far as they have reported it, its peers.
  [[nodiscard]] milliseconds TimeSinceAnyByte(const std::string& id,
                                              time_point now) const;

  /// Replaces one part of a peer's report.
  void SetPeerReport(const report_part_id& part,
                     const std::vector<upstream_report>& reports,
                     time_point now);
  /// Sets the age up to which a peer's report is counted.
  void SetMaxPeerReportAge(milliseconds max_age) { peers_.SetMaxAge(max_age); }
  /// What this node reports to its peers about the upstreams that it uses.
  [[nodiscard]] std::vector<upstream_report> OwnUpstreamReports(
      time_point now) const;
  /// In-flight requests of this node and its peers at all upstreams of
  /// `service`, or at one upstream.
  [[nodiscard]] int Running(const std::string& service, time_point now) const;
  [[nodiscard]] int RunningAt(const std::string& id, time_point now) const;
  /// Load and capacity of the upstreams of `service` that take requests;
  /// `cache_tokens` as in placement_request.
  [[nodiscard]] service_room Room(const std::string& service,
                                  int64_t cache_tokens, time_point now) const;

 private:
  struct upstream_state {
    upstream_entry entry;
    uint32_t key = 0;
    upstream_load own;
    upstream_health health;
    /// Time of the last byte, or of the first request sent while none was in
    /// flight.
    time_point silent_since{};
    /// Time of the last byte; empty before the first.
    std::optional<time_point> last_byte_at;
    /// When the entry was removed, if it is kept after a store outage.
    std::optional<time_point> removed_at;
    /// Requests that end before this time may be sent although the upstream
    /// drains; empty when none may.
    std::optional<time_point> serves_until;
    /// Affinity keys of requests sent there, with the time of their last use.
    std::unordered_map<std::string, time_point> parts;
  };
  /// Totals of this node and its peers.
  struct total_load {
    upstream_load load;
    decayed_outcomes outcomes;
  };
  /// Properties of a request's service over all its upstreams.
  struct service_summary {
    /// Upstream on which all nodes agree for the request's affinity key, by
    /// rendezvous hashing; null without a key.
    const upstream_state* preferred = nullptr;
    double failure_share = 0;  ///< Median over the upstreams.
    bool avoid_on_demand = false;
    size_t usable = 0;
  };

  [[nodiscard]] bool IsUsable(const upstream_state& upstream) const;
  /// Until when an upstream that is not usable may take requests that end in
  /// time; empty if it may not.
  [[nodiscard]] std::optional<time_point> ServesUntil(
      const upstream_state& upstream) const;
  /// Whether the entry may have lapsed only because the store was unreachable.
  [[nodiscard]] bool MayRegisterAgain(const upstream_state& upstream,
                                      time_point now) const;
  /// Whether the upstream drains but the request is expected to end in time.
  [[nodiscard]] bool CanFinishBeforeExit(const upstream_state& upstream,
                                         const placement_request& request,
                                         const placement& estimate,
                                         time_point now) const;
  [[nodiscard]] static milliseconds TimeSinceByte(
      const upstream_state& upstream, time_point now);
  [[nodiscard]] total_load TotalLoad(const upstream_state& upstream,
                                     time_point now) const;
  [[nodiscard]] placement Estimate(const upstream_state& upstream,
                                   const total_load& total,
                                   const placement_request& request,
                                   bool preferred) const;
  [[nodiscard]] placement_option CostOf(const upstream_state& upstream,
                                        const total_load& total,
                                        const placement& estimate,
                                        const placement_request& request,
                                        const service_summary& summary,
                                        time_point now) const;
  [[nodiscard]] service_summary SummarizeService(
      const placement_request& request, time_point now) const;
  /// Starts the limit of an upstream that takes requests again from `at` on.
  void StartPace(const upstream_entry& entry, time_point at,
                 bool for_this_node) {
    if (!parameters_.pace.enabled) {
      return;
    }
    paces_.Start({entry.id, UpstreamKey(entry.id), entry.slots, entry.cold_for,
                  at, for_this_node, peers_.size() + 1});
  }
  /// Starts the limit of an upstream that fails for all nodes.
  void StartPaceIfFailing(const upstream_state& upstream, time_point now);
  [[nodiscard]] engine_slowness SlownessOf(
      const upstream_state& upstream) const {
    return speeds_.Slowness(upstream.entry.service, upstream.key);
  }
  /// The state of this process of an upstream; null if it has been replaced or
  /// removed.
  [[nodiscard]] const upstream_state* FindProcess(
      const upstream_entry& entry) const;
  /// Cost of the requests that peers have placed but not yet reported.
  [[nodiscard]] double UnreportedCost(const placement_request& request,
                                      const std::vector<placement>& options,
                                      time_point now) const;

  load_balancer_parameters parameters_;
  std::map<std::string, upstream_state> upstreams_;
  upstream_announcements announcements_;
  std::map<std::string, service_time_stats> service_times_;
  upstream_speeds speeds_;
  upstream_paces paces_;
  /// Upstreams that were listed first are not taken to have just started.
  bool listed_ = false;
  /// Mutable, since reading the sums drops expired reports.
  mutable peer_loads peers_;
  store_returns store_returns_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_LOAD_BALANCER_H_

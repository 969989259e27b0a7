#ifndef SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_OUTCOMES_H_
#define SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_OUTCOMES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/rollout/skylarkcroft_rollout_plan.h"

namespace skylarkcroft {

/// Routes that are told apart in one service. Further routes are counted
/// together under kOtherRoutes, so that reports stay small.
inline constexpr size_t kMaxRolloutRoutes = 12;
inline constexpr char kOtherRoutes[] = "*";
/// Longer route names are cut to this length.
inline constexpr size_t kMaxRouteNameBytes = 48;

/// Number of requests by duration. The buckets grow by the fourth root of 2 and
/// start at 4 ms, so the last one starts at 46 s.
class duration_counts {
 public:
  static constexpr size_t kBuckets = 55;

  static size_t BucketOf(milliseconds duration);
  /// Upper bound of the durations in `bucket`.
  static milliseconds UpperBound(size_t bucket);

  void Add(size_t bucket, int64_t count) { counts_.at(bucket) += count; }
  void Add(const duration_counts& other, int64_t sign);
  [[nodiscard]] int64_t at(size_t bucket) const { return counts_.at(bucket); }
  [[nodiscard]] int64_t Total() const;
  /// Number of requests in `bucket` and above.
  [[nodiscard]] int64_t AtLeast(size_t bucket) const;
  /// Bucket in which the `quantile` of the requests lies; 0 if there are none.
  [[nodiscard]] size_t Quantile(double quantile) const;

  bool operator==(const duration_counts&) const = default;

 private:
  std::array<int64_t, kBuckets> counts_{};
};

/// What became of the requests that were sent to one version on one route.
/// All but `running` are cumulative.
struct version_outcomes {
  int64_t sent = 0;
  int64_t ok = 0;
  int64_t failed = 0;       ///< Answers with an error.
  int64_t lost = 0;         ///< Answers cut off with their connection.
  duration_counts ended;    ///< Durations of the ok answers.
  duration_counts running;  ///< Ages of the requests that are running.

  void Add(const version_outcomes& other, int64_t sign);
  bool operator==(const version_outcomes&) const = default;
};

/// The outcomes of both versions on one route.
struct route_outcomes {
  version_outcomes old_version;
  version_outcomes new_version;

  void Add(const route_outcomes& other, int64_t sign);
  bool operator==(const route_outcomes&) const = default;
};

/// Outcomes by route.
using rollout_totals = std::map<std::string, route_outcomes>;

/// What a node tells the lease holder about a rollout. A report may be split
/// into several, each with some of the routes.
struct rollout_report {
  rollout_order order;  ///< That the counts belong to.
  std::string node;
  int64_t incarnation = 0;
  int64_t sequence = 0;
  /// The plan that the node follows.
  int64_t fencing_token = 0;
  int64_t plan_sequence = 0;
  rollout_stage stage = rollout_stage::kWaiting;
  int64_t running_at_old = 0;  ///< Requests of this node at the old version.
  rollout_totals routes;

  bool operator==(const rollout_report&) const = default;
};

/// Encodes a report as datagrams of at most one packet each, in CBOR. A report
/// without routes is one datagram.
std::vector<std::string> EncodeRolloutReport(const rollout_report& report);
/// Decodes one datagram; returns nothing if `bytes` is not a report.
std::optional<rollout_report> DecodeRolloutReport(std::string_view bytes);

/// Interval between reports of a node that follows `plan`; `usual` is the one
/// of its reports to peers. While the old version's requests end, the holder
/// waits for the last node.
milliseconds RolloutReportPeriod(milliseconds usual, const rollout_plan& plan);

enum class rollout_request_end {
  kOk,
  kFailed,
  kLost,
  /// No evidence: the client left, the upstream had no room or was leaving.
  kNoEvidence,
};

/// Counts the outcomes of this node's requests for one service while a rollout
/// runs.
class rollout_recorder {
 public:
  /// Starts counting for `order`; has no effect if it is the present one.
  void Start(const rollout_order& order);
  /// Records that a request was sent to an upstream of `version`; returns an id
  /// for OnEnded(). To be called before Start() too, for RunningAtOld().
  uint64_t OnSent(const std::string& route, const std::string& version,
                  time_point now);
  /// Records the end of a request. Those sent before Start() are not counted.
  void OnEnded(uint64_t id, rollout_request_end end, time_point now);
  /// Outcomes since Start().
  [[nodiscard]] rollout_totals Totals(time_point now) const;
  /// Requests that are running at other versions than the target.
  [[nodiscard]] int64_t RunningAtOld() const;

 private:
  struct running_request {
    std::string route;
    std::string version;
    time_point sent_at{};
    bool counted = false;  ///< It was sent after the order.
  };

  [[nodiscard]] bool IsTarget(const std::string& version) const {
    return order_.has_value() && order_->target == version;
  }

  version_outcomes& OutcomesOf(const running_request& request);

  std::optional<rollout_order> order_;
  uint64_t last_id_ = 0;
  std::map<uint64_t, running_request> running_;
  rollout_totals totals_;
};

/// The reports of all nodes on one order, at the lease holder.
class rollout_tally {
 public:
  explicit rollout_tally(const rollout_order& order) : order_(order) {}

  /// Takes in a report; those of other orders and older ones are ignored.
  void OnReport(const rollout_report& report, time_point now);
  /// Drops what silent nodes told of running requests.
  void DropSilent(milliseconds max_silence, time_point now);
  [[nodiscard]] const rollout_totals& totals() const { return totals_; }
  /// Whether all of `nodes` have told that they follow `plan` and that none of
  /// their requests is running at the old version.
  [[nodiscard]] bool IsDrained(const rollout_plan& plan,
                               const std::vector<std::string>& nodes) const;
  /// Whether `node` has told that it follows `plan`.
  [[nodiscard]] bool Follows(const std::string& node,
                             const rollout_plan& plan) const;
  /// Whether a node follows a rollback of this order, which a former holder
  /// may have announced without being able to write it.
  [[nodiscard]] bool IsRolledBackAtANode() const { return rolled_back_; }

 private:
  struct route_state {
    int64_t sequence = -1;
    route_outcomes outcomes;
  };
  struct process_state {
    std::string node;
    int64_t sequence = -1;
    int64_t fencing_token = 0;
    int64_t plan_sequence = 0;
    int64_t running_at_old = 0;
    time_point heard_at{};
    std::map<std::string, route_state> routes;
  };

  /// The latest process of `node`; null if none was heard.
  [[nodiscard]] const process_state* Find(const std::string& node) const;

  rollout_order order_;
  std::map<std::pair<std::string, int64_t>, process_state> processes_;
  /// Incarnation of the latest process of each node.
  std::map<std::string, int64_t> incarnations_;
  rollout_totals totals_;
  bool rolled_back_ = false;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_OUTCOMES_H_

#ifndef SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_CONTROLLER_H_
#define SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_CONTROLLER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/rollout/skylarkcroft_rollout_judgement.h"
#include "skylarkcroft/rollout/skylarkcroft_rollout_outcomes.h"
#include "skylarkcroft/rollout/skylarkcroft_rollout_plan.h"

namespace skylarkcroft {

/// Tunable parameters of the rollout controller.
struct rollout_parameters {
  /// A version that turns out bad may have received this share of the requests,
  /// and as many more as the slack.
  double exposure_share = 0.1;
  double exposure_slack = 50;
  /// Parts of both that are used during the canary; the rest is for requests of
  /// the ramp before its first outcomes are known.
  double canary_share_part = 0.5;
  double canary_slack_part = 0.5;
  /// A closed canary share opens again when this part of the slack is unused.
  double reopen_slack_part = 0.25;
  /// Load of the upstreams that receive the canary share, as a multiple of that
  /// of the old ones: faults that show only under load have to show.
  double canary_load = 1.2;
  /// Largest share that a single upstream receives in a deployment with few.
  double max_canary_share = 0.25;
  /// Time for the transaction that completes the rollout, with one repetition.
  milliseconds write_margin{800};
  /// The time that the requests of a route need to end is taken to be this
  /// quantile of their durations, since the order or recently, times the
  /// factor: a burst of demand may slow down those that are running.
  double drain_quantile = 0.998;
  double drain_factor = 1.1;
  /// Added to the factor, divided by the square root of the number of answers:
  /// few answers do not show the longest durations.
  double drain_factor_uncertainty = 2;
  double max_drain_factor = 1.5;
  milliseconds min_drain_time{200};
  /// Largest part of the period that is set aside for running requests.
  double max_drain_part = 0.6;
  /// Length of the time span that is judged besides the time since the order.
  milliseconds judged_span{2000};
  milliseconds snapshot_interval{500};
  rollout_judgement_parameters judgement;

  bool operator==(const rollout_parameters&) const = default;
};

/// What the controller decides by.
struct rollout_view {
  rollout_totals totals;  ///< Outcomes since the order, of all nodes.
  size_t old_upstreams = 0;
  size_t new_upstreams = 0;
  milliseconds elapsed{0};  ///< Since the order.
  /// Typical age of the nodes' reports, and of their plans.
  milliseconds report_age{0};
  /// Whether all nodes follow the plan in force and no request is running at
  /// the old version.
  bool drained = false;
  /// Whether a node follows a rollback announced by a former holder.
  bool rolled_back_at_a_node = false;
};

/// Decides the rollout of one order at the lease holder. Does no I/O. Another
/// stage takes effect when it has been written to the store (OnWritten()),
/// except for a rollback, which is in force at once.
class rollout_controller {
 public:
  /// `plan` is the plan in the store or, for a new order, one in the first
  /// stage. `is_stored` says which.
  rollout_controller(const rollout_parameters& parameters,
                     const rollout_plan& plan, bool is_stored);

  /// Updates the plan in force.
  void Step(const rollout_view& view, time_point now);
  /// The plan in force, to be sent to all nodes.
  [[nodiscard]] const rollout_plan& plan() const { return plan_; }
  /// The plan to write to the store; empty if the store is up to date.
  [[nodiscard]] const std::optional<rollout_plan>& to_write() const {
    return to_write_;
  }
  /// `plan` has been written.
  void OnWritten(const rollout_plan& plan);
  /// The store has come back from an older copy: writes the plan again.
  void OnStoreRestored();
  /// Why the version was found bad; empty otherwise.
  [[nodiscard]] const std::optional<rollout_fault>& fault() const {
    return fault_;
  }

 private:
  struct snapshot {
    time_point at{};
    rollout_totals totals;
  };

  void RollBack(const std::string& reason);
  /// Requests the write of the next stage.
  void Advance(rollout_stage stage);
  [[nodiscard]] std::optional<rollout_fault> Judge(const rollout_view& view,
                                                   time_point now);
  void UpdateCanary(const rollout_view& view);
  void UpdateMovedRoutes(const rollout_view& view);
  /// Running time of the requests that the old version received on a route.
  [[nodiscard]] double WorkOf(const std::string& route) const;
  /// Time before the end of the period at which a route has to move.
  [[nodiscard]] milliseconds LeadTime(const std::string& route,
                                      const rollout_view& view) const;
  /// The same for a route whose requests take no time.
  [[nodiscard]] milliseconds MinLeadTime(const rollout_view& view) const;
  /// Changes the plan in force.
  void Announce(const rollout_plan& plan);

  rollout_parameters parameters_;
  rollout_plan plan_;
  std::optional<rollout_plan> to_write_;
  std::optional<rollout_fault> fault_;
  std::deque<snapshot> snapshots_;
  /// Outcomes since the oldest snapshot.
  rollout_totals recent_;
  /// Outcomes before the ramp, when the old version carried its usual load.
  rollout_totals reference_;
  bool share_open_ = true;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_CONTROLLER_H_

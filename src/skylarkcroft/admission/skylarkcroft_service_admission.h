#ifndef SKYLARKCROFT_ADMISSION_SKYLARKCROFT_SERVICE_ADMISSION_H_
#define SKYLARKCROFT_ADMISSION_SKYLARKCROFT_SERVICE_ADMISSION_H_

#include <functional>
#include <map>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/limits/skylarkcroft_return_schedule.h"
#include "skylarkcroft/placement/skylarkcroft_decaying_sum.h"
#include "skylarkcroft/placement/skylarkcroft_service_room.h"

namespace skylarkcroft {

/// Fill is the part of a service's batch slots, or of its planned cache if that
/// is more, that is taken.
struct service_admission_parameters {
  /// Refusals end when the fill is below this.
  double stop_fill = 0.85;
  /// Nothing is refused while a smaller part of the batch slots is taken.
  double min_slots_taken = 0.5;
  /// Fill from which requests of the most urgent rank are refused, and up to
  /// which some are admitted: what is sent beyond it waits at the engines or is
  /// declined, however urgent. In between a part is refused, since reports of
  /// peers are up to half a second old at 89 nodes.
  double urgent_refused_fill = 1.05;
  double urgent_max_fill = 1.2;
  /// Fill up to which requests are admitted so that no rank is starved.
  double max_fill = 1.5;
  /// Fill at which the second most urgent rank is refused.
  double first_refused_fill = 1.04;
  /// The fill at which a rank is refused is lower by this for each further
  /// rank.
  double rank_step = 0.03;
  /// Ranks from this one on are refused alike, above `stop_fill`.
  int last_ordered_rank = 5;
  /// A workspace counts as small below, and as large above, these multiples of
  /// an equal part of the recent use.
  double small_workspace = 0.75;
  double large_workspace = 1.5;
  /// Workspaces with a smaller part of the recent use do not count for the
  /// equal part.
  double min_active_use = 0.01;
  /// A rank is admitted at least this fraction of the share of requests that is
  /// admitted over all ranks. Callers need a quarter of the requests; more
  /// urgent ones return more often, so that fewer of them fail in the end.
  double min_relative_admitted = 0.47;
  /// The same fraction is larger for small workspaces, and smaller for large
  /// ones, by this part of it.
  double fair_share_weight = 0.4;
  /// Half-life of the use and admissions that are remembered.
  milliseconds half_life{4000};
  return_schedule_parameters returns;

  bool operator==(const service_admission_parameters&) const = default;
};

/// A request to a service with engines.
struct service_request {
  std::string service;
  std::string workspace;      ///< Empty without a workspace.
  int urgency = 0;            ///< 0 is the most urgent.
  double tokens = 0;          ///< Prompt and output.
  milliseconds remaining{0};  ///< Until the client's deadline.
  /// Whether the upstream chosen for it is full, so that none has room.
  bool placed_full = false;
  /// Random numbers, uniform in [0, 1), for the admission and the wait.
  double draw = 0;
  double jitter_draw = 0;

  bool operator==(const service_request&) const = default;
};

struct service_admission_decision {
  bool admitted = true;
  double fill = 0;       ///< 0 if it was not needed for the decision.
  double max_fill = 0;   ///< Above it the request is refused.
  milliseconds wait{0};  ///< `Retry-After`; 0 when admitted.

  bool operator==(const service_admission_decision&) const = default;
};

/// Decides which requests are sent to a service whose engines are all full:
/// the most urgent ones as long as the engines take them, others by their rank
/// and by how much of the service their workspace used recently. Keeps the
/// recent use of this node.
class service_admission {
 public:
  explicit service_admission(const service_admission_parameters& parameters)
      : parameters_(parameters) {}

  /// `room` gives the room of the service; called only where it matters.
  service_admission_decision Decide(const service_request& request,
                                    const std::function<service_room()>& room,
                                    time_point now);

 private:
  struct service_state {
    explicit service_state(const service_admission_parameters& parameters)
        : asked(parameters.half_life),
          admitted(parameters.half_life),
          admitted_tokens(parameters.half_life),
          returns(parameters.returns,
                  static_cast<size_t>(parameters.last_ordered_rank) + 1) {}
    bool without_room = false;
    decaying_sum asked;
    decaying_sum admitted;
    decaying_sum admitted_tokens;
    return_schedule returns;
    /// Tokens of admitted requests by workspace.
    std::map<std::string, decaying_sum> use;
  };

  /// Ranks by which the request is treated as more (negative) or less urgent
  /// for the recent use of its workspace.
  [[nodiscard]] int RankShift(const service_state& state,
                              const std::string& workspace,
                              time_point now) const;
  /// Fill up to which the request is admitted.
  [[nodiscard]] double MaxFill(const service_state& state,
                               const service_request& request,
                               time_point now) const;
  void RecordAdmitted(service_state& state, const service_request& request,
                      time_point now) const;

  service_admission_parameters parameters_;
  std::map<std::string, service_state> services_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_SERVICE_ADMISSION_H_

#ifndef SKYLARKCROFT_DUTIES_SKYLARKCROFT_FLEET_PLANNER_H_
#define SKYLARKCROFT_DUTIES_SKYLARKCROFT_FLEET_PLANNER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/duties/skylarkcroft_duty_calls.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_entry.h"
#include "skylarkcroft/service/skylarkcroft_service_map.h"

namespace skylarkcroft {

/// Figures of the planner.
struct fleet_terms {
  /// Requests at work that one upstream is planned for. A batch of this size
  /// makes the tokens of a stream at half the speed of one alone.
  double running_per_upstream = 12;
  /// The same as a share of an upstream's places, where it has few: a request
  /// that finds all of them taken pushes a running stream out.
  double running_share = 0.4;
  /// Upstreams planned beyond the load, as a share, for a zone taken back.
  double reserve_share = 0.4;
  int least_per_zone = 4;
  /// The plan falls only after the load has been lower for this long, which is
  /// longer than most bursts and lulls.
  milliseconds fall_delay{20000};
  /// Then it falls by this share in each such period.
  double fall_share = 0.2;
  milliseconds fall_period{4000};
  /// Time after the first plan in which no fewer are planned than the operators
  /// started.
  milliseconds learning_time{9000};
  /// Time after the first plan in which, without load, the upstreams that the
  /// operators started announce themselves; an order at the full price would
  /// call those back that have not yet.
  milliseconds announce_time{4000};
  /// A plan that rises does so by this share at least, so that a load that
  /// rises steadily takes few orders.
  double least_rise = 0.08;
  /// An order that brought nothing is repeated after this time beyond the time
  /// that an upstream takes to start.
  milliseconds repeat_after{1500};
  /// Pause after an answer that there is nothing to be had.
  milliseconds unavailable_pause{3000};
  /// Upstreams with requests at work are given up only after this time, which
  /// is longer than most requests run.
  milliseconds longest_retirement{8000};
  /// Reclaimable upstreams must have been too few for this long before others
  /// are ordered: a short disturbance is over before they have started.
  milliseconds shortage_time{1500};
  /// Share by which the reclaimable ones that are ready must exceed the need of
  /// late before upstreams at the full price are given up, even where the plan
  /// asks for more.
  double spare_share = 0.15;
  /// The need of late is the greatest one in about this time.
  milliseconds need_memory{8000};
  /// Share of the plan that must be ready before upstreams at the full price
  /// are given up.
  double ready_share = 0.75;

  bool operator==(const fleet_terms&) const = default;
};

/// An upstream with the requests at work there.
struct fleet_upstream {
  upstream_entry entry;
  int running = 0;

  bool operator==(const fleet_upstream&) const = default;
};

/// What the planner sees of one service.
struct fleet_view {
  std::string service;
  scaling_terms scaling;
  int slots = 0;  ///< Places of one upstream; 0 where it is not known.
  std::vector<fleet_upstream> upstreams;
  int running = 0;

  bool operator==(const fleet_view&) const = default;
};

/// Decides how many upstreams of each kind a service is to have in each zone:
/// reclaimable ones spread over all zones, since a zone's are taken back at
/// once, and others only where those cannot be had. Needs no network.
class fleet_planner {
 public:
  explicit fleet_planner(const fleet_terms& terms);

  /// Orders that differ from those in force, the most urgent first.
  std::vector<fleet_order> Plan(const fleet_view& view, time_point now);
  void NoteAnswer(const fleet_order& order, duty_outcome outcome,
                  time_point now);

 private:
  struct slot {
    std::string service;
    std::string availability_zone;
    bool reclaimable = false;

    auto operator<=>(const slot&) const = default;
  };
  struct ordered {
    std::optional<int> count;
    time_point at{};
    time_point not_before{};
  };
  struct demand {
    int total = 0;
    time_point needed_at{};
    time_point since{};
    std::optional<time_point> short_since;
    int recent_need = 0;
    time_point recent_at{};
  };

  [[nodiscard]] int Needed(const fleet_view& view) const;
  /// Whether the reclaimable upstreams that are ready can do alone.
  [[nodiscard]] bool IsEnough(const fleet_view& view, int ready, int planned,
                              time_point now) const;
  /// What reclaimable upstreams, of which `coming` are ready or starting, have
  /// been too few by for some time.
  int Missing(const fleet_view& view, int coming, time_point now);
  void NoteNeed(demand& known, int needed, time_point now) const;
  int Total(const fleet_view& view, time_point now);
  /// The count last accepted; 0 before any.
  [[nodiscard]] int Accepted(const std::string& service,
                             const std::string& zone, bool reclaimable) const;
  /// Reclaimable upstreams of a zone that are ready or starting.
  [[nodiscard]] int Coming(const fleet_view& view, const std::string& zone,
                           time_point now) const;
  [[nodiscard]] std::vector<fleet_order> FullPriceOrders(const fleet_view& view,
                                                         int per_zone,
                                                         time_point now);
  [[nodiscard]] bool IsDue(const fleet_order& order, int present,
                           const fleet_view& view, time_point now) const;
  bool MayRetire(const fleet_order& order, const fleet_view& view,
                 time_point now);

  fleet_terms terms_;
  std::map<slot, ordered> orders_;
  /// Since when upstreams were to be given up.
  std::map<slot, time_point> retiring_;
  std::map<std::string, demand> demands_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DUTIES_SKYLARKCROFT_FLEET_PLANNER_H_

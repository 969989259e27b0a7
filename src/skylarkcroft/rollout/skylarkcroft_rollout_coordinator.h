#ifndef SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_COORDINATOR_H_
#define SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_COORDINATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/rollout/skylarkcroft_rollout_controller.h"
#include "skylarkcroft/rollout/skylarkcroft_rollout_outcomes.h"
#include "skylarkcroft/rollout/skylarkcroft_rollout_router.h"
#include "skylarkcroft/store/skylarkcroft_row_store.h"

namespace skylarkcroft {

/// Table of the store with the plans of rollouts.
inline constexpr char kRolloutsTable[] = "rollouts";

/// The duty lease, as held by this node.
struct held_lease {
  int64_t fencing_token = 0;
  row_condition condition;  ///< Holds as long as the lease is this node's.

  bool operator==(const held_lease&) const = default;
};

/// Dependencies of a rollout_coordinator. The store must outlive it.
struct rollout_environment {
  row_store& store;
  std::string node;  ///< Name of this node.
  int64_t incarnation = 0;
  /// The duty lease; empty while another node may hold it.
  std::function<std::optional<held_lease>(time_point now)> lease;
  /// Names of the peers that were heard from recently.
  std::function<std::vector<std::string>(time_point now)> live_peers;
  std::function<std::vector<upstream_entry>()> upstreams;
  /// Estimated true wall time, in milliseconds since the Unix epoch.
  std::function<int64_t(time_point now)> true_time_ms;
  std::function<void(const endpoint& target, const std::string& datagram)> send;
  std::function<void(const std::string& datagram)> send_to_all;
  /// The row that tells the operators the state of a rollout.
  std::function<row_change(const rollout_plan&)> status_row;
  /// Called when the plan in force changes at this node.
  std::function<void(const rollout_plan&)> on_plan;
  clock_fn clock;
};

/// A node's part in rollouts: follows the lease holder's plans, reports
/// outcomes, and decides while this node holds the lease.
class rollout_coordinator {
 public:
  rollout_coordinator(rollout_environment environment,
                      const rollout_parameters& parameters,
                      milliseconds plan_lifetime);
  ~rollout_coordinator();
  rollout_coordinator(const rollout_coordinator&) = delete;
  rollout_coordinator& operator=(const rollout_coordinator&) = delete;

  void OnOrder(const rollout_order& order);
  /// Takes in a datagram of a peer; returns false if it is none of a rollout.
  bool OnDatagram(const endpoint& from, std::string_view bytes);
  /// The store has come back from an older copy.
  void OnStoreRestored();
  /// To be called regularly; `report_period` is that of the reports to peers.
  void Tick(milliseconds report_period, time_point now);

  [[nodiscard]] const rollout_router& router() const { return router_; }
  /// Records that a request was sent to `upstream`; returns an id for
  /// OnRequestEnded().
  uint64_t OnRequestSent(const std::string& route,
                         const upstream_entry& upstream, time_point now);
  void OnRequestEnded(const std::string& service, uint64_t id,
                      rollout_request_end end, time_point now);

 private:
  /// What the holder keeps of an order.
  struct held_rollout {
    rollout_controller controller;
    rollout_tally tally;
    std::optional<rollout_plan> sent{};
    time_point sent_at{};
    time_point resent_at{};
    std::optional<time_point> final_since{};
    bool write_in_flight = false;
    time_point next_write_at{};
  };

  void UpdateUpstreams(time_point now);
  void SendReports(milliseconds report_period, time_point now);
  [[nodiscard]] rollout_report MakeReport(const rollout_plan& plan,
                                          time_point now);
  void RunHolder(milliseconds report_period, time_point now);
  void ReadPlans(int64_t fencing_token);
  /// Starts to hold the orders that are not held yet.
  void HoldOrders(const held_lease& lease, time_point now);
  void Decide(const std::string& service, held_rollout& held,
              milliseconds report_period, time_point now);
  void Write(const std::string& service, held_rollout& held,
             const held_lease& lease, time_point now);
  void Announce(held_rollout& held, time_point now);
  void Follow(const rollout_plan& plan, time_point now);

  rollout_environment environment_;
  rollout_parameters parameters_;
  rollout_router router_;
  std::map<std::string, rollout_recorder> recorders_;
  /// Where plans of a service come from.
  std::map<std::string, endpoint> holders_;
  /// Addresses of the nodes whose reports arrived.
  std::map<std::string, endpoint> nodes_;
  std::map<std::string, time_point> next_report_at_;
  std::map<std::string, time_point> final_at_;
  time_point next_upstreams_at_{};
  int64_t report_sequence_ = 0;
  // As the holder:
  /// Fencing token for which `stored_` has been read.
  int64_t read_fence_ = 0;
  bool read_in_flight_ = false;
  std::map<std::string, rollout_plan> stored_;
  std::map<std::string, held_rollout> held_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_COORDINATOR_H_

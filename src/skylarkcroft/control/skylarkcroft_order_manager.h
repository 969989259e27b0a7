#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_MANAGER_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_MANAGER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_order_client.h"
#include "skylarkcroft/control/skylarkcroft_order_plan.h"
#include "skylarkcroft/control/skylarkcroft_pool_lease.h"
#include "skylarkcroft/control/skylarkcroft_weight_fetch_pacer.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_weight_store.h"
#include "skylarkcroft/tables/skylarkcroft_pools_table.h"

namespace skylarkcroft {

/// A pool with a deployment, and the revision of the tables that define it.
struct controlled_pool {
  pool spec;
  int64_t revision = 0;

  bool operator==(const controlled_pool&) const = default;
};

/// Dependencies of an order manager; all must outlive it.
struct order_environment {
  event_loop& loop;
  order_client& client;
  weight_store& weights;
  /// Pools of the active tables that have a deployment.
  std::function<std::vector<controlled_pool>()> pools;
  /// Returns the lease of a pool, or null when it is not tracked.
  std::function<const pool_lease*(const std::string& pool)> lease;
  /// Number of requests running or waiting on an upstream; negative when
  /// unknown.
  std::function<int64_t(const std::string& pool, const std::string& upstream)>
      running;
  /// True when the upstream's host is about to be reclaimed.
  std::function<bool(const std::string& pool, const std::string& upstream)>
      reclaim_pending;
  clock_fn clock;
};

struct order_settings {
  milliseconds read_period{2000};
  /// After draining for this long an upstream loads new weights even if
  /// requests still run on it.
  milliseconds drain_timeout{120000};
  double max_out_of_service_share = 0.25;
  weight_fetch_intervals intervals;

  bool operator==(const order_settings&) const = default;
};

/// An order sent by this process, and its outcome.
struct sent_order {
  std::string upstream_name;
  upstream_order order;
  order_outcome outcome = order_outcome::kUnknown;
  time_point sent_at{};

  bool operator==(const sent_order&) const = default;
};

/// Latest plan of this process for one pool, and what it has sent.
struct order_status {
  order_plan plan;
  std::deque<sent_order> last_orders;
  uint64_t sent = 0;
  uint64_t refused = 0;    ///< Orders rejected because of a stale fence.
  uint64_t unknown = 0;    ///< Orders with no usable response in time.
  uint64_t throttled = 0;  ///< Weight fetches rejected by rate limit.
};

/// Brings the engines of each pool whose lease this process holds to the
/// deployment that the pools table specifies. In rounds, while the lease is
/// held, it reads the state of all engines of the pool and sends orders to
/// those that differ.
class order_manager {
 public:
  order_manager(order_environment environment, std::string issuer,
                const order_settings& settings);
  ~order_manager();
  order_manager(const order_manager&) = delete;
  order_manager& operator=(const order_manager&) = delete;

  /// Starts a round in every pool where one is due. Runs automatically every
  /// kTickPeriod.
  void Tick();

  /// Returns the status of `pool_name`, or null when this process has not
  /// processed the pool.
  [[nodiscard]] const order_status* Find(const std::string& pool_name) const;

  static constexpr milliseconds kTickPeriod{500};

 private:
  struct pool_progress;
  struct round;
  using round_ptr = std::shared_ptr<round>;

  [[nodiscard]] bool IsRoundDue(const pool_progress& progress, const pool& spec,
                                time_point now) const;
  void StartRound(const controlled_pool& target);
  void OnRead(const round_ptr& current);
  void UpdateIdle(const round_ptr& current);
  void SendOrders(const round_ptr& current);
  void FetchThenSend(const round_ptr& current, const planned_order& planned);
  void Send(const round_ptr& current, const planned_order& planned);
  void RecordOutcome(const round_ptr& current, sent_order sent);

  order_environment environment_;
  std::string issuer_;
  order_settings settings_;
  std::map<std::string, std::shared_ptr<pool_progress>> pools_;
  event_loop::handle_ptr timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_MANAGER_H_

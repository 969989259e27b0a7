#ifndef SKYLARKCROFT_DUTIES_SKYLARKCROFT_DUTY_KEEPER_H_
#define SKYLARKCROFT_DUTIES_SKYLARKCROFT_DUTY_KEEPER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_pool_lease.h"
#include "skylarkcroft/duties/skylarkcroft_duty_calls.h"
#include "skylarkcroft/duties/skylarkcroft_usage_journal.h"
#include "skylarkcroft/duties/skylarkcroft_usage_ledger.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/store/skylarkcroft_row_store.h"

namespace skylarkcroft {

/// Times of the duties.
struct duty_terms {
  lease_terms lease;
  milliseconds window{5000};
  /// Wait after the end of a window for the last reports of peers.
  milliseconds settle{1800};
  /// Windows that ended longer ago are not reported any more.
  milliseconds longest_lateness{9500};
  milliseconds tick_period{250};
  milliseconds usage_retry{400};
  bool reports_usage = true;
  bool orders_fleet = true;

  bool operator==(const duty_terms&) const = default;
};

/// What a duty keeper works with; all outlive it.
struct duty_environment {
  event_loop& loop;
  row_store& store;
  duty_calls& calls;
  usage_ledger& ledger;
  /// Names of this node and the peers heard of late.
  std::function<std::vector<std::string>()> members;
  /// True time, in milliseconds since the Unix epoch.
  std::function<int64_t(time_point now)> true_time_ms;
  /// Orders that are due; asked only while this node may act.
  std::function<std::vector<fleet_order>(time_point now)> plan;
  std::function<void(const fleet_order&, duty_outcome, time_point now)>
      on_ordered;
  std::function<void(std::string_view event, int64_t fence,
                     const std::string& detail)>
      on_event;
  clock_fn clock;
};

/// Holds the lease on the cloud's calls, or waits for it, and makes the calls
/// while it is held.
class duty_keeper {
 public:
  duty_keeper(duty_environment environment, const lease_member& self,
              const duty_terms& terms);
  ~duty_keeper();
  duty_keeper(const duty_keeper&) = delete;
  duty_keeper& operator=(const duty_keeper&) = delete;

  /// Gives the lease back and takes no more.
  void Release();
  [[nodiscard]] bool MayAct(time_point now) const { return lease_.MayAct(now); }

 private:
  void Tick();
  void Read();
  void OnRows(const std::vector<stored_row>& rows, time_point now);
  void Write(lease_step step, std::optional<usage_journal> journal);
  void OnWritten(const store_view& view, lease_step step,
                 const std::optional<usage_journal>& journal);
  [[nodiscard]] std::optional<usage_journal> NextJournal(time_point now) const;
  void SendUsage(time_point now);
  void SendOrders(time_point now);
  [[nodiscard]] duty_authority Authority() const;

  duty_environment environment_;
  lease_member self_;
  duty_terms terms_;
  pool_lease lease_;
  usage_journal journal_;
  int64_t first_window_;
  std::set<int64_t> accepted_;
  time_point next_read_{};
  time_point next_usage_{};
  bool reading_ = false;
  bool usage_in_flight_ = false;
  bool order_in_flight_ = false;
  bool releasing_ = false;
  bool acting_ = false;
  event_loop::handle_ptr timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DUTIES_SKYLARKCROFT_DUTY_KEEPER_H_

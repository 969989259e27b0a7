#ifndef SKYLARKCROFT_DUTIES_SKYLARKCROFT_DUTY_RUNNER_H_
#define SKYLARKCROFT_DUTIES_SKYLARKCROFT_DUTY_RUNNER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/duties/skylarkcroft_duty_calls.h"
#include "skylarkcroft/duties/skylarkcroft_duty_rows.h"
#include "skylarkcroft/duties/skylarkcroft_usage_ledger.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/store/skylarkcroft_row_store.h"

namespace skylarkcroft {

/// Tunable parameters of the duties.
struct duty_parameters {
  lease_parameters lease;
  /// Length of a usage window.
  milliseconds window{5000};
  /// Time after the end of a window before its usage counts as final, so that
  /// the last reports of peers can arrive.
  milliseconds settle_time{1800};
  /// Windows that ended longer ago than this are no longer reported.
  milliseconds max_report_delay{9500};
  milliseconds tick_period{250};
  /// Delay before a usage report that was not accepted is sent again.
  milliseconds usage_retry_delay{400};
  bool reports_usage = true;
  bool orders_fleet = true;

  bool operator==(const duty_parameters&) const = default;
};

/// Dependencies of a duty_runner. Referenced objects must outlive it.
struct duty_environment {
  event_loop& loop;
  row_store& store;
  duty_calls& calls;
  usage_ledger& ledger;
  /// Names of this node and of the peers heard from recently.
  std::function<std::vector<std::string>()> members;
  /// Estimated true wall time, in milliseconds since the Unix epoch.
  std::function<int64_t(time_point now)> true_time_ms;
  /// Returns the orders that are due, most urgent first; called only while
  /// this node may act under the lease.
  std::function<std::vector<fleet_order>(time_point now)> plan;
  std::function<void(const fleet_order&, duty_outcome, time_point now)>
      on_order_outcome;
  /// Logs an event of the duties.
  std::function<void(std::string_view event, int64_t fencing_token,
                     const std::string& detail)>
      on_event;
  clock_fn clock;
};

/// Competes for the duty lease and, while this node holds it, reports usage
/// and orders upstreams.
class duty_runner {
 public:
  duty_runner(duty_environment environment, const lease_member& self,
              const duty_parameters& parameters);
  ~duty_runner();
  duty_runner(const duty_runner&) = delete;
  duty_runner& operator=(const duty_runner&) = delete;

  /// Releases the lease and stops competing for it.
  void Release();
  /// Whether this node holds the lease and may make duty calls at `now`.
  [[nodiscard]] bool MayAct(time_point now) const {
    return rows_.lease().MayAct(now);
  }
  [[nodiscard]] int64_t fencing_token() const { return rows_.lease().fence(); }
  /// See duty_rows::LeaseCondition().
  [[nodiscard]] row_condition LeaseCondition() const {
    return rows_.LeaseCondition();
  }

 private:
  void Tick();
  void Read();
  void Write(lease_step step, std::optional<usage_journal> journal);
  void OnWritten(const duty_write& write, const store_response& response);
  /// Newest window whose usage is final by the present estimate of the time.
  [[nodiscard]] int64_t NewestSettledWindow(time_point now) const;
  /// Oldest window whose report is not late yet.
  [[nodiscard]] int64_t OldestTimelyWindow(time_point now) const;
  /// The journal with the next final window appended; empty when no window is
  /// due.
  [[nodiscard]] std::optional<usage_journal> NextJournal(time_point now) const;
  void SendUsage(time_point now);
  void SendOrders(time_point now);
  [[nodiscard]] duty_authority Authority() const;
  /// Window in which this process started, by the present estimate of the time:
  /// the clock may have been wrong at the start.
  [[nodiscard]] int64_t FirstWindow(time_point now) const;
  /// Whether a call with the present fencing token was refused as outdated.
  [[nodiscard]] bool IsOutdated() const;

  duty_environment environment_;
  lease_member self_;
  duty_parameters parameters_;
  duty_rows rows_;
  time_point started_at_;
  /// Windows whose report the cloud accepted from this process.
  std::set<int64_t> accepted_windows_;
  time_point next_read_at_{};
  time_point next_usage_at_{};
  bool read_in_flight_ = false;
  bool usage_in_flight_ = false;
  bool order_in_flight_ = false;
  /// Highest fencing token that was refused as outdated.
  int64_t outdated_fence_ = 0;
  bool releasing_ = false;
  bool was_acting_ = false;
  event_loop::handle_ptr timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DUTIES_SKYLARKCROFT_DUTY_RUNNER_H_

#include "skylarkcroft/duties/skylarkcroft_duty_runner.h"

#include <algorithm>
#include <utility>

#include "skylarkcroft/control/skylarkcroft_rendezvous.h"

namespace skylarkcroft {
namespace {

constexpr const char* kDutiesTable = "duties";
constexpr const char* kLeaseRow = "lease";
constexpr const char* kUsageRow = "usage";
constexpr size_t kMaxJournalReports = 4;

row_outcome OutcomeOf(store_outcome outcome) {
  switch (outcome) {
    case store_outcome::kDone:
      return row_outcome::kCommitted;
    case store_outcome::kConflict:
      return row_outcome::kConflict;
    case store_outcome::kHistoryGone:
    case store_outcome::kRefused:
      return row_outcome::kRejected;
    case store_outcome::kUnknown:
      return row_outcome::kUnknown;
  }
  return row_outcome::kUnknown;
}

const stored_row* FindRow(const std::vector<stored_row>& rows,
                          std::string_view key) {
  const auto found =
      std::find_if(rows.begin(), rows.end(),
                   [&](const stored_row& row) { return row.key == key; });
  return found == rows.end() ? nullptr : &*found;
}

}  // namespace

duty_runner::duty_runner(duty_environment environment, const lease_member& self,
                         const duty_parameters& parameters)
    : environment_(std::move(environment)),
      self_(self),
      parameters_(parameters),
      lease_(kDutiesTable, self, parameters.lease),
      started_at_(environment_.clock()),
      timer_(environment_.loop.Every(parameters.tick_period,
                                     [this] { Tick(); })) {}

duty_runner::~duty_runner() = default;

duty_authority duty_runner::Authority() const {
  return {self_.name, lease_.fence()};
}

int64_t duty_runner::FirstWindow(time_point now) const {
  return (environment_.true_time_ms(now) - ElapsedMs(started_at_, now)) /
         parameters_.window.count();
}

bool duty_runner::IsOutdated() const {
  return outdated_fence_ > 0 && lease_.fence() <= outdated_fence_;
}

void duty_runner::Tick() {
  const time_point now = environment_.clock();
  // Calls sent by the previous lease holder must have ended first.
  const bool acting =
      lease_.MayAct(now) && lease_.PreviousOrdersExpired(now) && !IsOutdated();
  if (acting != was_acting_) {
    was_acting_ = acting;
    environment_.on_event(acting ? "duties held" : "duties not held",
                          lease_.fence(), "");
  }
  if (acting && !releasing_) {
    SendUsage(now);
    SendOrders(now);
  }
  if (read_in_flight_ || lease_.writing()) {
    return;
  }
  const bool gives_up = releasing_ || (lease_.MayAct(now) && IsOutdated());
  const size_t position = gives_up
                              ? parameters_.lease.watcher_count
                              : RendezvousPosition(kDutiesTable, self_.name,
                                                   environment_.members());
  const lease_step step = lease_.NextStep(position, now);
  const std::optional<usage_journal> journal =
      acting ? NextJournal(now) : std::nullopt;
  if (step == lease_step::kWait && journal.has_value()) {
    Write(lease_step::kRenew, journal);
    return;
  }
  if (step != lease_step::kWait && step != lease_step::kIgnore) {
    Write(step, journal);
    return;
  }
  if (position < parameters_.lease.watcher_count && !acting &&
      now >= next_read_at_) {
    Read();
  }
}

void duty_runner::Read() {
  read_in_flight_ = true;
  next_read_at_ = environment_.clock() + parameters_.lease.renew_period;
  const std::weak_ptr<bool> alive = alive_;
  environment_.store.Read(
      kDutiesTable, [this, alive](const store_response& response) {
        if (alive.expired()) {
          return;
        }
        read_in_flight_ = false;
        const time_point now = environment_.clock();
        if (response.outcome != store_outcome::kDone) {
          lease_.OnRowRead({read_outcome::kUnavailable, {}}, now);
          return;
        }
        OnRows(response.rows, now);
      });
}

void duty_runner::OnRows(const std::vector<stored_row>& rows, time_point now) {
  const stored_row* usage = FindRow(rows, kUsageRow);
  if (usage != nullptr) {
    const std::optional<usage_journal> journal = DecodeJournal(usage->value);
    if (journal.has_value()) {
      journal_ = *journal;
    } else {
      environment_.on_event("usage journal unreadable", lease_.fence(),
                            usage->value);
    }
  }
  const stored_row* lease = FindRow(rows, kLeaseRow);
  if (lease == nullptr) {
    lease_.OnRowRead({read_outcome::kMissing, {}}, now);
    return;
  }
  lease_.OnRowRead({read_outcome::kFound,
                    {LeaseKey(kDutiesTable), lease->version, lease->value}},
                   now);
}

void duty_runner::Write(lease_step step, std::optional<usage_journal> journal) {
  const row_write write = lease_.BeginWrite(step, environment_.clock());
  row_transaction transaction;
  transaction.conditions.push_back(
      {kDutiesTable, kLeaseRow, write.expected_version.value_or(0)});
  transaction.changes.push_back({kDutiesTable, kLeaseRow, write.row.document});
  if (journal.has_value()) {
    transaction.changes.push_back(
        {kDutiesTable, kUsageRow, EncodeJournal(*journal)});
  }
  const std::weak_ptr<bool> alive = alive_;
  environment_.store.Commit(transaction,
                            [this, alive, step, journal = std::move(journal)](
                                const store_response& response) {
                              if (!alive.expired()) {
                                OnWritten(response, step, journal);
                              }
                            });
}

void duty_runner::OnWritten(const store_response& response, lease_step step,
                            const std::optional<usage_journal>& journal) {
  const time_point now = environment_.clock();
  const bool must_read_back = lease_.EndWrite(OutcomeOf(response.outcome), now);
  if (response.outcome == store_outcome::kDone) {
    if (journal.has_value()) {
      journal_ = *journal;
    }
    if (step == lease_step::kTakeOver || step == lease_step::kAcquire) {
      environment_.on_event("duties taken", lease_.fence(), "");
    }
  }
  // The store assigns the version of the written row, so it is known only from
  // this response.
  if (response.outcome == store_outcome::kDone &&
      step != lease_step::kRelease) {
    lease_.OnRowRead({read_outcome::kFound,
                      {LeaseKey(kDutiesTable), response.version,
                       EncodeLease(lease_.view().record)}},
                     now);
  }
  if (must_read_back || response.outcome == store_outcome::kConflict) {
    Read();
  }
}

std::optional<usage_journal> duty_runner::NextJournal(time_point now) const {
  if (!parameters_.reports_usage) {
    return std::nullopt;
  }
  const int64_t true_ms = environment_.true_time_ms(now);
  const int64_t newest_settled =
      (true_ms - parameters_.settle_time.count()) / parameters_.window.count() -
      1;
  const int64_t oldest_due = (true_ms - parameters_.max_report_delay.count()) /
                             parameters_.window.count();
  const int64_t window =
      std::max({journal_.NewestWindow().value_or(FirstWindow(now) - 1) + 1,
                oldest_due, FirstWindow(now)});
  if (window > newest_settled) {
    return std::nullopt;
  }
  return journal_.WithReport({window, environment_.ledger.Totals(window)},
                             kMaxJournalReports);
}

void duty_runner::SendUsage(time_point now) {
  if (usage_in_flight_ || now < next_usage_at_) {
    return;
  }
  const auto due =
      std::find_if(journal_.reports.begin(), journal_.reports.end(),
                   [&](const usage_report& r) {
                     return !accepted_windows_.contains(r.window);
                   });
  if (due == journal_.reports.end()) {
    return;
  }
  const usage_report report = *due;
  usage_in_flight_ = true;
  const std::weak_ptr<bool> alive = alive_;
  environment_.calls.ReportUsage(
      Authority(), report,
      [this, alive, report, fence = lease_.fence()](duty_outcome outcome) {
        if (alive.expired()) {
          return;
        }
        usage_in_flight_ = false;
        environment_.on_event("usage reported", lease_.fence(),
                              "window " + std::to_string(report.window) +
                                  " begun " + std::to_string(report.Total()) +
                                  " " + std::string(ToString(outcome)));
        if (outcome == duty_outcome::kAccepted) {
          accepted_windows_.insert(report.window);
          return;
        }
        if (outcome == duty_outcome::kOutdated) {
          outdated_fence_ = std::max(outdated_fence_, fence);
        }
        next_usage_at_ = environment_.clock() + parameters_.usage_retry_delay;
      });
}

void duty_runner::SendOrders(time_point now) {
  if (order_in_flight_ || !parameters_.orders_fleet) {
    return;
  }
  const std::vector<fleet_order> due = environment_.plan(now);
  if (due.empty()) {
    return;
  }
  const fleet_order& order = due.front();
  order_in_flight_ = true;
  const std::weak_ptr<bool> alive = alive_;
  environment_.calls.OrderFleet(
      Authority(), order, [this, alive, order](duty_outcome outcome) {
        if (alive.expired()) {
          return;
        }
        order_in_flight_ = false;
        const time_point completed_at = environment_.clock();
        environment_.on_order_outcome(order, outcome, completed_at);
        if (lease_.MayAct(completed_at) && !releasing_) {
          SendOrders(completed_at);
        }
      });
}

void duty_runner::Release() {
  releasing_ = true;
  Tick();
}

}  // namespace skylarkcroft

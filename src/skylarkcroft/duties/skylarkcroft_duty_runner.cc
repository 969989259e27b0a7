#include "skylarkcroft/duties/skylarkcroft_duty_runner.h"

#include <algorithm>
#include <utility>

#include "skylarkcroft/duties/skylarkcroft_watch_position.h"

namespace skylarkcroft {
namespace {

constexpr size_t kMaxJournalReports = 4;

}  // namespace

duty_runner::duty_runner(duty_environment environment, const lease_member& self,
                         const duty_parameters& parameters)
    : environment_(std::move(environment)),
      self_(self),
      parameters_(parameters),
      rows_(self, parameters.lease,
            [this](std::string_view event, const std::string& detail) {
              environment_.on_event(event, rows_.lease().fence(), detail);
            }),
      started_at_(environment_.clock()),
      timer_(environment_.loop.Every(parameters.tick_period,
                                     [this] { Tick(); })) {}

duty_runner::~duty_runner() = default;

duty_authority duty_runner::Authority() const {
  return {self_.name, rows_.lease().fence()};
}

int64_t duty_runner::FirstWindow(time_point now) const {
  return (environment_.true_time_ms(now) - ElapsedMs(started_at_, now)) /
         parameters_.window.count();
}

bool duty_runner::IsOutdated() const {
  return outdated_fence_ > 0 && rows_.lease().fence() <= outdated_fence_;
}

void duty_runner::Tick() {
  const time_point now = environment_.clock();
  // Calls sent by the previous lease holder must have ended first.
  const bool acting = rows_.lease().MayAct(now) &&
                      rows_.lease().PreviousOrdersExpired(now) && !IsOutdated();
  if (acting != was_acting_) {
    was_acting_ = acting;
    environment_.on_event(acting ? "duties held" : "duties not held",
                          rows_.lease().fence(), "");
  }
  if (acting && !releasing_) {
    SendUsage(now);
    SendOrders(now);
  }
  if (read_in_flight_ || rows_.lease().writing()) {
    return;
  }
  const bool gives_up =
      releasing_ || (rows_.lease().MayAct(now) && IsOutdated());
  const size_t position =
      gives_up ? parameters_.lease.watcher_count
               : WatchPosition(kDutiesTable, self_.name,
                               rows_.lease().view().record.holder.name,
                               environment_.members(),
                               parameters_.lease.watcher_count);
  const lease_step step = rows_.lease().NextStep(position, now);
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
        rows_.OnRead(response, NewestSettledWindow(now), now);
      });
}

void duty_runner::Write(lease_step step, std::optional<usage_journal> journal) {
  const duty_write write =
      rows_.BeginWrite(step, std::move(journal), environment_.clock());
  const std::weak_ptr<bool> alive = alive_;
  environment_.store.Commit(
      write.transaction, [this, alive, write](const store_response& response) {
        if (!alive.expired()) {
          OnWritten(write, response);
        }
      });
}

void duty_runner::OnWritten(const duty_write& write,
                            const store_response& response) {
  const time_point now = environment_.clock();
  const bool must_read =
      rows_.OnWritten(write, response, NewestSettledWindow(now), now);
  const bool takes =
      write.step == lease_step::kTakeOver || write.step == lease_step::kAcquire;
  if (takes && response.outcome == store_outcome::kDone && !must_read) {
    environment_.on_event("duties taken", rows_.lease().fence(), "");
  }
  if (must_read) {
    Read();
  }
  if (write.journal.has_value() && was_acting_ && !releasing_ &&
      rows_.lease().MayAct(now)) {
    SendUsage(now);
  }
}

int64_t duty_runner::NewestSettledWindow(time_point now) const {
  return (environment_.true_time_ms(now) - parameters_.settle_time.count()) /
             parameters_.window.count() -
         1;
}

int64_t duty_runner::OldestTimelyWindow(time_point now) const {
  return (environment_.true_time_ms(now) -
          parameters_.max_report_delay.count()) /
         parameters_.window.count();
}

std::optional<usage_journal> duty_runner::NextJournal(time_point now) const {
  if (!parameters_.reports_usage) {
    return std::nullopt;
  }
  const int64_t window = std::max(
      {rows_.journal().NewestWindow().value_or(FirstWindow(now) - 1) + 1,
       OldestTimelyWindow(now), FirstWindow(now), rows_.first_open_window()});
  if (window > NewestSettledWindow(now)) {
    return std::nullopt;
  }
  return rows_.journal().WithReport(
      {window, environment_.ledger.Totals(window)}, kMaxJournalReports);
}

void duty_runner::SendUsage(time_point now) {
  if (usage_in_flight_ || now < next_usage_at_) {
    return;
  }
  const std::optional<usage_report> next = rows_.journal().NextUnaccepted(
      accepted_windows_, OldestTimelyWindow(now));
  if (!next.has_value()) {
    return;
  }
  const usage_report& report = *next;
  usage_in_flight_ = true;
  const std::weak_ptr<bool> alive = alive_;
  environment_.calls.ReportUsage(
      Authority(), report,
      [this, alive, report,
       fence = rows_.lease().fence()](duty_outcome outcome) {
        if (alive.expired()) {
          return;
        }
        usage_in_flight_ = false;
        environment_.on_event("usage reported", rows_.lease().fence(),
                              "window " + std::to_string(report.window) +
                                  " begun " + std::to_string(report.Total()) +
                                  " " + std::string(ToString(outcome)));
        if (outcome == duty_outcome::kAccepted) {
          accepted_windows_.insert(report.window);
          const time_point accepted_at = environment_.clock();
          if (rows_.lease().MayAct(accepted_at) && !releasing_) {
            SendUsage(accepted_at);
          }
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
        if (rows_.lease().MayAct(completed_at) && !releasing_) {
          SendOrders(completed_at);
        }
      });
}

void duty_runner::Release() {
  releasing_ = true;
  Tick();
}

}  // namespace skylarkcroft

#include "skylarkcroft/relay/skylarkcroft_relay_node.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>
#include <vector>

#include "skylarkcroft/duties/skylarkcroft_duty_keeper.h"
#include "skylarkcroft/duties/skylarkcroft_fleet_planner.h"
#include "skylarkcroft/duties/skylarkcroft_usage_ledger.h"
#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/limits/skylarkcroft_repeat_allowance.h"
#include "skylarkcroft/limits/skylarkcroft_token_allotments.h"
#include "skylarkcroft/log/skylarkcroft_log_bound.h"
#include "skylarkcroft/peers/skylarkcroft_peer_channel.h"
#include "skylarkcroft/peers/skylarkcroft_peer_group.h"
#include "skylarkcroft/peers/skylarkcroft_peer_report.h"
#include "skylarkcroft/peers/skylarkcroft_report_schedule.h"
#include "skylarkcroft/peers/skylarkcroft_true_time.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_board.h"
#include "skylarkcroft/relay/skylarkcroft_relay_environment.h"
#include "skylarkcroft/relay/skylarkcroft_relay_metrics.h"
#include "skylarkcroft/relay/skylarkcroft_relay_server.h"
#include "skylarkcroft/relay/skylarkcroft_store_copies.h"
#include "skylarkcroft/relay/skylarkcroft_upstream_links.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kHousekeepingPeriod{100};
// A peer is silent after this many periods of reports.
constexpr int kSilentPeriods = 3;
constexpr milliseconds kShortestSilence{700};
// Peers taken for gone get a report this often.
constexpr milliseconds kLostPeersPeriod{2000};
constexpr milliseconds kShortestLoadLife{1500};
// Members that watch the lease; one takes over, the other covers for it.
constexpr size_t kLeaseWatchers = 2;
constexpr milliseconds kExitCheckPeriod{50};
constexpr milliseconds kIdleCloseAfter{2500};
// Windows of usage told to peers; a report is due two windows later.
constexpr int64_t kUsageWindowsKept = 4;
// Tables older than this part of the revocation bound are not decided on; the
// rest covers the time in which a deaf watch is found out.
constexpr double kKeyAgeShare = 0.76;
// A node whose tables are older than this part takes no new clients.
constexpr double kReadyAgeShare = 0.5;
// Time kept for ending before the process would be killed.
constexpr milliseconds kExitMargin{400};
constexpr int kOkStatus = 200;
constexpr int kUnavailableStatus = 503;

milliseconds Share(milliseconds whole, double share) {
  return milliseconds(static_cast<milliseconds::rep>(
      share * static_cast<double>(whole.count())));
}

repeat_terms RepeatTerms(const relay_bounds& bounds) {
  repeat_terms terms;
  terms.share = bounds.repeat_share;
  terms.window = bounds.repeat_window;
  terms.reserve = bounds.repeat_reserve;
  return terms;
}

duty_terms DutyTerms(const relay_settings& settings) {
  duty_terms terms;
  terms.lease.lease_time = settings.bounds.lease;
  terms.lease.renew_period = settings.bounds.lease / 3;
  terms.lease.order_flight = milliseconds(700);
  terms.lease.takeover_margin = milliseconds(500);
  terms.lease.watchers = kLeaseWatchers;
  terms.window = settings.bounds.usage_window;
  terms.longest_lateness = settings.bounds.usage_lateness - milliseconds(500);
  terms.reports_usage = settings.reports_usage;
  terms.orders_fleet = settings.orders_fleet;
  return terms;
}

}  // namespace

class relay_node::impl {
 public:
  impl(event_loop& loop, const relay_settings& settings,
       const relay_sources& sources, row_store& store, duty_calls& calls,
       logger& log, clock_fn clock, wall_clock_fn wall_clock)
      : loop_(loop),
        settings_(settings),
        sources_(sources),
        log_(log),
        clock_(std::move(clock)),
        wall_clock_(std::move(wall_clock)),
        started_at_(clock_()),
        incarnation_(wall_clock_()),
        random_(std::random_device{}()),
        board_(board_terms{}),
        links_(loop, link_terms{}, clock_,
               [this] { metrics_.NoteConnectionOpened(); }),
        allotments_(settings.first_start),
        repeats_(RepeatTerms(settings.bounds)),
        ledger_(settings.name + "/" + std::to_string(incarnation_),
                kUsageWindowsKept),
        group_(settings.name),
        environment_(MakeEnvironment()),
        channel_(loop, settings.listen.peers,
                 [this](const endpoint& from, std::string_view bytes) {
                   OnDatagram(from, bytes);
                 }),
        copies_({loop, store, sources_, board_, group_, clock_,
                 [this](const std::string& table, bool reachable) {
                   metrics_.NoteStoreContact(table, reachable);
                 },
                 [this](log_level level, const std::string& message,
                        const std::vector<log_field>& fields) {
                   Say(level, message, fields);
                 }},
                settings.name,
                {settings.bounds.apply_deadline, settings.bounds.drain}),
        server_(environment_, settings.listen.clients),
        readiness_(loop, settings.listen.readiness, http_server_limits{},
                   [this](const http_exchange_ptr& asked) { OnProbe(asked); }),
        metrics_server_(
            loop, settings.listen.metrics, http_server_limits{},
            [this](const http_exchange_ptr& asked) { OnMetrics(asked); }),
        duties_(DutyEnvironment(store, calls),
                {settings.name, std::to_string(incarnation_)},
                DutyTerms(settings)) {
    true_time_.NoteOwn(incarnation_, started_at_);
    copies_.Start(channel_.address(), started_at_);
    housekeeping_timer_ =
        loop.Every(kHousekeepingPeriod, [this] { KeepHouse(); });
    Say(log_level::kInfo, "started",
        {{"node", settings.name},
         {"incarnation", std::to_string(incarnation_)},
         {"first_start", settings.first_start ? "true" : "false"}});
  }

  void Reload(const relay_settings& settings) {
    settings_.bounds = settings.bounds;
    repeats_.SetTerms(RepeatTerms(settings.bounds));
    copies_.SetDeadlines(
        {settings.bounds.apply_deadline, settings.bounds.drain});
    ApplyBounds(environment_);
    log_.SetLevel(ParseLogLevel(settings.log_level).value_or(log_level::kInfo));
    Say(log_level::kInfo, "settings reloaded", {});
  }

  void Shutdown() {
    if (leaving_since_.has_value()) {
      return;
    }
    leaving_since_ = clock_();
    Say(log_level::kInfo, "stopping",
        {{"requests_at_work", std::to_string(server_.busy())}});
    duties_.Release();
    exit_timer_ = loop_.Every(kExitCheckPeriod, [this] { CheckExit(); });
  }

  [[nodiscard]] endpoint clients_address() const { return server_.address(); }

 private:
  relay_environment MakeEnvironment() {
    relay_environment made{loop_,
                           board_,
                           links_,
                           allotments_,
                           repeats_,
                           sources_.names,
                           relay_terms{},
                           gate_terms{},
                           settings_.bounds.allotments,
                           settings_.availability_zone,
                           clock_,
                           {},
                           {},
                           {},
                           {},
                           {},
                           {}};
    ApplyBounds(made);
    made.tables = [this] { return copies_.tables(); };
    made.nodes = [this] { return group_.Counted(clock_()); };
    made.draw = [this] {
      return std::uniform_real_distribution<double>(0, 1)(random_);
    };
    made.leaving_for = [this] {
      return leaving_since_.has_value()
                 ? std::chrono::duration_cast<milliseconds>(clock_() -
                                                            *leaving_since_)
                 : milliseconds(-1);
    };
    made.on_begun = [this](const std::string& workspace) {
      ledger_.NoteBegun(workspace, true_time_.NowMs(clock_()) /
                                       settings_.bounds.usage_window.count());
    };
    made.on_ended = [this](const request_record& record) {
      metrics_.NoteRequest(record);
      Write(ToLogEntry(record));
    };
    return made;
  }

  void ApplyBounds(relay_environment& environment) const {
    environment.gate.longest_key_age =
        Share(settings_.bounds.revocation, kKeyAgeShare);
    environment.gate.longest_denial_age = settings_.bounds.apply_deadline;
    environment.allotment_overage = settings_.bounds.allotments;
    environment.terms.leave_limit = settings_.bounds.grace_period - kExitMargin;
  }

  duty_environment DutyEnvironment(row_store& store, duty_calls& calls) {
    return {
        loop_,
        store,
        calls,
        ledger_,
        [this] {
          std::vector<std::string> names = group_.Live(clock_());
          names.push_back(settings_.name);
          return names;
        },
        [this](time_point now) { return true_time_.NowMs(now); },
        [this](time_point now) { return PlanFleet(now); },
        [this](const fleet_order& order, duty_outcome outcome, time_point now) {
          planner_.NoteAnswer(order, outcome, now);
          SayOrder(order, outcome);
        },
        [this](std::string_view event, int64_t fence,
               const std::string& detail) {
          Say(log_level::kInfo, std::string(event),
              {{"fence", std::to_string(fence)}, {"detail", detail}});
        },
        clock_};
  }

  std::vector<fleet_order> PlanFleet(time_point now) {
    std::vector<fleet_order> orders;
    const gate_view view_of_tables = copies_.tables();
    if (view_of_tables.tables == nullptr) {
      return orders;
    }
    for (const service_pool& pool : view_of_tables.tables->map().pools) {
      if (!pool.scaling.has_value()) {
        continue;
      }
      fleet_view view{pool.name,
                      *pool.scaling,
                      pool.engine.has_value() ? pool.engine->slots : 0,
                      {},
                      board_.Running(pool.name, now)};
      for (const upstream_entry& entry : board_.Entries()) {
        if (entry.service == pool.name) {
          view.upstreams.push_back({entry, board_.RunningAt(entry.id, now)});
        }
      }
      for (const fleet_order& order : planner_.Plan(view, now)) {
        orders.push_back(order);
      }
    }
    return orders;
  }

  void SayOrder(const fleet_order& order, duty_outcome outcome) {
    Say(log_level::kInfo, "upstreams ordered",
        {{"service", order.service},
         {"availability_zone", order.availability_zone},
         {"reclaimable", order.reclaimable ? "true" : "false"},
         {"count", std::to_string(order.count)},
         {"running", std::to_string(board_.Running(order.service, clock_()))},
         {"outcome", std::string(ToString(outcome))}});
  }

  void KeepHouse() {
    const time_point now = clock_();
    // A suspended or frozen host must not go by its old clock reading.
    true_time_.NoteOwn(wall_clock_(), now);
    ledger_.Forget(true_time_.NowMs(now) /
                   settings_.bounds.usage_window.count());
    for (const std::string& id : board_.DropLapsed(now)) {
      Say(log_level::kInfo, "upstream changed",
          {{"upstream", id}, {"state", "lapsed"}});
    }
    metrics_.SetClients(server_.clients());
    Report(now);
  }

  void Report(time_point now) {
    const milliseconds period = ReportPeriod(group_.Counted(now));
    copies_.Pace(now);
    const milliseconds silence =
        std::max(kShortestSilence, kSilentPeriods * period);
    group_.SetLiveLimit(silence);
    allotments_.SetPeerSilence(silence);
    board_.SetPeerLoadLife(std::max(kShortestLoadLife, silence));
    std::vector<endpoint> targets =
        report_schedule_.Due(group_.Targets(now), period, now);
    if (now >= next_lost_report_) {
      next_lost_report_ = now + kLostPeersPeriod;
      const std::vector<endpoint> lost = group_.Lost(now);
      targets.insert(targets.end(), lost.begin(), lost.end());
    }
    if (!targets.empty()) {
      Send(OwnReport(now), targets);
    }
  }

  void Send(const peer_report& report, const std::vector<endpoint>& targets) {
    const std::vector<std::string> datagrams = EncodeReport(report);
    report_sequence_ += static_cast<int64_t>(datagrams.size());
    for (const endpoint& target : targets) {
      for (const std::string& bytes : datagrams) {
        channel_.Send(target, bytes);
      }
    }
  }

  peer_report OwnReport(time_point now) {
    return {settings_.name,
            incarnation_,
            report_sequence_ + 1,
            0,
            1,
            wall_clock_(),
            leaving_since_.has_value(),
            board_.OwnViews(now),
            allotments_.OwnReports(group_.Counted(now), now),
            ledger_.OwnCounts(),
            copies_.tables_position(),
            copies_.upstreams_position()};
  }

  void OnDatagram(const endpoint& from, std::string_view bytes) {
    const std::optional<peer_report> report = DecodeReport(bytes);
    metrics_.NoteDatagram(report.has_value());
    if (!report.has_value()) {
      return;
    }
    const time_point now = clock_();
    if (!group_.NoteHeard(report->node, from, report->incarnation,
                          report->sequence, report->leaving, now)) {
      return;
    }
    board_.SetPeer({report->node, report->part, report->parts},
                   report->upstreams, now);
    if (report->part == 0) {
      allotments_.NotePeer(report->node, report->incarnation,
                           report->allotments, now);
    }
    ledger_.Merge(report->node + "/" + std::to_string(report->incarnation),
                  report->usage);
    true_time_.NotePeer(report->node, report->wall_ms, now);
    copies_.NotePeer(report->tables_position, report->upstreams_position);
  }

  [[nodiscard]] bool IsReady(time_point now) const {
    const gate_view known = copies_.tables();
    return !leaving_since_.has_value() && known.tables != nullptr &&
           known.current_as_of.has_value() &&
           now - *known.current_as_of <=
               Share(settings_.bounds.revocation, kReadyAgeShare) &&
           copies_.upstreams_known();
  }

  void OnProbe(const http_exchange_ptr& asked) {
    const bool ready = IsReady(clock_());
    const bool known_path = asked->request().path() == sources_.readiness_path;
    asked->Reply({known_path && ready ? kOkStatus : kUnavailableStatus,
                  {{"Content-Type", "text/plain"}},
                  ready ? "ready\n" : "not ready\n"});
  }

  void OnMetrics(const http_exchange_ptr& asked) {
    asked->Reply({kOkStatus,
                  {{"Content-Type", "text/plain; version=0.0.4"}},
                  metrics_.Render()});
  }

  void CheckExit() {
    const milliseconds leaving = environment_.leaving_for();
    if (leaving >= kIdleCloseAfter) {
      server_.CloseIdle();
    }
    const bool out_of_time = leaving >= environment_.terms.leave_limit;
    if (out_of_time) {
      server_.GiveUpAll();
    }
    const bool done = server_.clients() == 0 &&
                      leaving > environment_.terms.leave_refuse_after;
    if (!done && !out_of_time) {
      return;
    }
    Say(log_level::kInfo, "stopped",
        {{"after_ms", std::to_string(leaving.count())}});
    log_.Flush();
    loop_.Stop();
  }

  void Say(log_level level, const std::string& message,
           std::vector<log_field> fields) {
    log_entry entry;
    entry.level = level;
    entry.message = message;
    entry.fields = std::move(fields);
    Write(entry);
  }

  void Write(const log_entry& entry) {
    if (!log_bound_.Allow(clock_())) {
      metrics_.NoteLogDropped();
      return;
    }
    log_.Log(entry);
  }

  event_loop& loop_;
  relay_settings settings_;
  relay_sources sources_;
  logger& log_;
  clock_fn clock_;
  wall_clock_fn wall_clock_;
  time_point started_at_;
  int64_t incarnation_;
  int64_t report_sequence_ = 0;
  std::mt19937 random_;
  log_bound log_bound_;
  relay_metrics metrics_;
  std::optional<time_point> leaving_since_;
  upstream_board board_;
  upstream_links links_;
  token_allotments allotments_;
  repeat_allowance repeats_;
  usage_ledger ledger_;
  fleet_planner planner_{fleet_terms{}};
  peer_group group_;
  true_time true_time_;
  relay_environment environment_;
  peer_channel channel_;
  store_copies copies_;
  relay_server server_;
  http_server readiness_;
  http_server metrics_server_;
  duty_keeper duties_;
  time_point next_lost_report_{};
  report_schedule report_schedule_;
  event_loop::handle_ptr housekeeping_timer_;
  event_loop::handle_ptr exit_timer_;
};

relay_node::relay_node(event_loop& loop, const relay_settings& settings,
                       const relay_sources& sources, row_store& store,
                       duty_calls& calls, logger& log, clock_fn clock,
                       wall_clock_fn wall_clock)
    : impl_(std::make_unique<impl>(loop, settings, sources, store, calls, log,
                                   std::move(clock), std::move(wall_clock))) {}

relay_node::~relay_node() = default;

void relay_node::Reload(const relay_settings& settings) {
  impl_->Reload(settings);
}

void relay_node::Shutdown() { impl_->Shutdown(); }

endpoint relay_node::clients_address() const {
  return impl_->clients_address();
}

}  // namespace skylarkcroft

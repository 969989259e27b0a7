#include "skylarkcroft/relay/skylarkcroft_relay_node.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_rendezvous.h"
#include "skylarkcroft/duties/skylarkcroft_duty_runner.h"
#include "skylarkcroft/duties/skylarkcroft_fleet_planner.h"
#include "skylarkcroft/duties/skylarkcroft_usage_ledger.h"
#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/limits/skylarkcroft_service_retry_budget.h"
#include "skylarkcroft/limits/skylarkcroft_token_quotas.h"
#include "skylarkcroft/log/skylarkcroft_log_bound.h"
#include "skylarkcroft/peers/skylarkcroft_broadcast_queue.h"
#include "skylarkcroft/peers/skylarkcroft_datagram_fragments.h"
#include "skylarkcroft/peers/skylarkcroft_forwarded_datagram.h"
#include "skylarkcroft/peers/skylarkcroft_median_clock.h"
#include "skylarkcroft/peers/skylarkcroft_peer_channel.h"
#include "skylarkcroft/peers/skylarkcroft_peer_group.h"
#include "skylarkcroft/peers/skylarkcroft_peer_report.h"
#include "skylarkcroft/peers/skylarkcroft_report_schedule.h"
#include "skylarkcroft/placement/skylarkcroft_load_balancer.h"
#include "skylarkcroft/quarantine/skylarkcroft_part_quarantine.h"
#include "skylarkcroft/quarantine/skylarkcroft_quarantine_archive.h"
#include "skylarkcroft/quarantine/skylarkcroft_quarantine_notice.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_notice.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_quarantine.h"
#include "skylarkcroft/relay/skylarkcroft_relay_environment.h"
#include "skylarkcroft/relay/skylarkcroft_relay_metrics.h"
#include "skylarkcroft/relay/skylarkcroft_relay_quarantines.h"
#include "skylarkcroft/relay/skylarkcroft_relay_server.h"
#include "skylarkcroft/relay/skylarkcroft_shutdown_plan.h"
#include "skylarkcroft/relay/skylarkcroft_store_replica.h"
#include "skylarkcroft/relay/skylarkcroft_upstream_connections.h"
#include "skylarkcroft/rollout/skylarkcroft_rollout_coordinator.h"
#include "skylarkcroft/streams/skylarkcroft_stream_versions.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kHousekeepingInterval{100};
// A peer that sent no report for this many report periods counts as silent.
constexpr int kPeerSilencePeriods = 3;
constexpr milliseconds kMinPeerSilence{700};
// Peers that count as gone still get a report this often, so that one that was
// only cut off learns of this node again.
constexpr milliseconds kLostPeerReportInterval{2000};
constexpr milliseconds kMinPeerLoadLifetime{1500};
// Nodes that watch the lease: one to take it over, one in case that one fails.
constexpr size_t kLeaseWatchers = 2;
constexpr milliseconds kExitCheckInterval{50};
constexpr milliseconds kBroadcastInterval{10};
// Below the rate of the slowest links (10 Mbit/s), which also carry requests.
constexpr double kBroadcastBytesPerSecond = 800000;
// Usage windows sent to peers; the report of a window is due two
// windows later.
constexpr int64_t kRetainedUsageWindows = 4;
// Requests are not decided on tables older than this share of the revocation
// bound; the rest covers the time to detect a watch that no longer receives
// changes.
constexpr double kMaxKeyAgeShare = 0.76;
// The same where revocation is not strict: longer than outages of the store
// usually last.
constexpr milliseconds kMaxKeyAgeWithoutStore{60000};
// A node whose tables are older than this share of the revocation bound reports
// that it is not ready, so that it gets no new clients.
constexpr double kMaxReadyAgeShare = 0.5;
// Quarantines are told in one of so many reports.
constexpr int kReportsPerQuarantineReport = 5;
// Quarantines of requests end at the nodes over this time, so that few of them
// try the request at once.
constexpr milliseconds kMaxQuarantineEndDelay{10000};
// Nodes that write quarantines to the store; two, so that one may fail.
constexpr size_t kArchiveWriters = 2;
// The same for the streams that have begun.
constexpr size_t kStreamWriters = 2;
// After a start a node waits this long for reports before it counts as the only
// one: where all nodes start, each would write for itself.
constexpr milliseconds kFirstReportsTime{1500};
// Requests to a leaving upstream have to end this long before it may exit.
constexpr milliseconds kLeavingMargin{200};
// A rollout plan that has not been heard for this share of the rollback bound
// has expired; the rest covers the time to detect a bad version.
constexpr double kMaxPlanAgeShare = 0.6;

std::string FormatFactor(double factor) {
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.2f", factor);
  return {text.data(), static_cast<size_t>(std::max(length, 0))};
}
constexpr int kOkStatus = 200;
constexpr int kNotFoundStatus = 404;
constexpr int kUnavailableStatus = 503;

milliseconds Scale(milliseconds duration, double share) {
  return milliseconds(static_cast<milliseconds::rep>(
      share * static_cast<double>(duration.count())));
}

service_retry_budget_parameters MakeRetryBudgetParameters(
    const relay_bounds& bounds) {
  service_retry_budget_parameters parameters;
  parameters.share = bounds.repeat_share;
  parameters.window = bounds.repeat_window;
  parameters.reserve = bounds.repeat_reserve;
  return parameters;
}

load_balancer_parameters MakeBalancerParameters(
    const relay_settings& settings) {
  load_balancer_parameters parameters;
  parameters.pace.enabled = settings.paces_upstreams;
  return parameters;
}

rollout_parameters MakeRolloutParameters(const relay_bounds& bounds) {
  rollout_parameters parameters;
  parameters.exposure_share = bounds.exposure_share.value_or(0);
  parameters.exposure_slack = bounds.exposure_slack;
  return parameters;
}

duty_parameters MakeDutyParameters(const relay_settings& settings) {
  duty_parameters parameters;
  parameters.lease.lease_time = settings.bounds.lease;
  parameters.lease.renew_period = settings.bounds.lease / 3;
  parameters.lease.order_timeout = milliseconds(700);
  parameters.lease.takeover_margin = milliseconds(500);
  parameters.lease.watcher_count = kLeaseWatchers;
  parameters.window = settings.bounds.usage_window;
  parameters.max_report_delay =
      settings.bounds.usage_lateness - milliseconds(500);
  parameters.reports_usage = settings.reports_usage;
  parameters.orders_fleet = settings.orders_fleet;
  return parameters;
}

// Readiness and metrics are asked for by a few of the platform's processes,
// with short requests. evhttp takes about 110 bytes for each line of a head, so
// that 32 heads of 4 KB without end take less than 4 MB.
http_server_limits ListenerLimits() {
  constexpr size_t kHeaderBytes = 4096;
  constexpr size_t kBodyBytes = 4096;
  constexpr size_t kConnections = 32;
  http_server_limits limits;
  limits.max_header_bytes = kHeaderBytes;
  limits.max_body_bytes = kBodyBytes;
  limits.max_connections = kConnections;
  return limits;
}

}  // namespace

class relay_node::impl {
 public:
  impl(event_loop& loop, const relay_settings& settings,
       const deployment_adapter& adapter, row_store& store, duty_calls& calls,
       logger& log, clock_fn clock, wall_clock_fn wall_clock)
      : loop_(loop),
        settings_(settings),
        adapter_(adapter),
        log_(log),
        clock_(std::move(clock)),
        wall_clock_(std::move(wall_clock)),
        started_at_(clock_()),
        incarnation_(wall_clock_()),
        random_(std::random_device{}()),
        balancer_(MakeBalancerParameters(settings)),
        connections_(loop, connection_parameters{}, clock_,
                     [this] { metrics_.RecordConnectionOpened(); }),
        quotas_(settings.first_start, random_()),
        retries_(MakeRetryBudgetParameters(settings.bounds)),
        quarantine_(
            PartQuarantineOfRelay(),
            [this](const quarantine_event& event) { LogQuarantine(event); }),
        crashing_requests_(MakeRequestQuarantineParameters(),
                           [this](const request_quarantine_event& event) {
                             LogRequestQuarantine(event);
                           }),
        archive_(store, quarantine_, crashing_requests_, clock_,
                 [this](store_outcome outcome) {
                   metrics_.RecordArchiveCall(ToString(outcome));
                 }),
        ledger_(settings.name + "/" + std::to_string(incarnation_),
                kRetainedUsageWindows),
        group_(settings.name),
        environment_(MakeEnvironment()),
        channel_(loop, settings.listen.peers,
                 [this](const endpoint& from, std::string_view bytes) {
                   OnDatagram(from, bytes);
                 }),
        replica_({loop, store, adapter_, balancer_, group_, clock_,
                  [this](const std::string& table, bool reachable) {
                    metrics_.RecordStoreContact(table, reachable);
                  },
                  [this](log_level level, const std::string& message,
                         const std::vector<log_field>& fields) {
                    LogEvent(level, message, fields);
                  },
                  [this](const table_changes& changes) { PassOn(changes); },
                  [this](time_point now) {
                    metrics_.RecordStoreRestored();
                    archive_.OnStoreRestored(now);
                    streams_.OnStoreRestored(now);
                    if (rollouts_ != nullptr) {
                      rollouts_->OnStoreRestored();
                    }
                  },
                  [this] { server_.OnTablesChanged(); },
                  [this](const std::string& table, store_call_reason reason) {
                    metrics_.RecordStoreCall(table, ToString(reason));
                    LogEvent(log_level::kDebug, "store call",
                             {{"table", table},
                              {"reason", std::string(ToString(reason))}});
                  },
                  [this](const rollout_order& order) { OnRollout(order); }},
                 settings.name,
                 {settings.bounds.apply_deadline, settings.bounds.drain}),
        streams_(MakeStreamEnvironment(store)),
        server_(environment_, settings.listen.clients),
        readiness_(loop, settings.listen.readiness, ListenerLimits(),
                   [this](const http_exchange_ptr& exchange) {
                     HandleReadiness(exchange);
                   }),
        metrics_server_(loop, settings.listen.metrics, ListenerLimits(),
                        [this](const http_exchange_ptr& exchange) {
                          HandleMetrics(exchange);
                        }),
        duties_(MakeDutyEnvironment(store, calls),
                {settings.name, std::to_string(incarnation_)},
                MakeDutyParameters(settings)) {
    environment_.on_client_ended = [this](const client_end& end) {
      OnClientEnded(end);
    };
    environment_.streams = &streams_;
    if (settings.bounds.exposure_share.has_value()) {
      rollouts_ = std::make_unique<rollout_coordinator>(
          MakeRolloutEnvironment(store), MakeRolloutParameters(settings.bounds),
          std::min(settings.bounds.lease,
                   Scale(settings.bounds.rollback, kMaxPlanAgeShare)));
      environment_.rollouts = rollouts_.get();
    }
    median_clock_.RecordOwn(incarnation_, started_at_);
    replica_.Start(channel_.address(), started_at_);
    streams_.Start();
    housekeeping_timer_ =
        loop.Every(kHousekeepingInterval, [this] { RunHousekeeping(); });
    LogEvent(log_level::kInfo, "started",
             {{"node", settings.name},
              {"incarnation", std::to_string(incarnation_)},
              {"first_start", settings.first_start ? "true" : "false"}});
  }

  void Reload(const relay_settings& settings) {
    settings_.bounds = settings.bounds;
    retries_.SetParameters(MakeRetryBudgetParameters(settings.bounds));
    replica_.SetDeadlines(
        {settings.bounds.apply_deadline, settings.bounds.drain});
    ApplyBounds(environment_);
    log_.SetLevel(ParseLogLevel(settings.log_level).value_or(log_level::kInfo));
    LogEvent(log_level::kInfo, "settings reloaded", {});
  }

  void Shutdown() {
    if (shutdown_at_.has_value()) {
      return;
    }
    shutdown_at_ = clock_();
    LogEvent(log_level::kInfo, "stopping",
             {{"requests_at_work", std::to_string(server_.busy())}});
    duties_.Release();
    exit_timer_ = loop_.Every(kExitCheckInterval, [this] { ExitIfDrained(); });
  }

  [[nodiscard]] endpoint clients_address() const { return server_.address(); }

 private:
  relay_environment MakeEnvironment() {
    relay_environment environment{loop_,
                                  balancer_,
                                  connections_,
                                  quotas_,
                                  quota_order_,
                                  service_order_,
                                  retries_,
                                  quarantine_,
                                  crashing_requests_,
                                  adapter_.names,
                                  relay_parameters{},
                                  gate_parameters{},
                                  settings_.bounds.quotas,
                                  settings_.availability_zone,
                                  clock_,
                                  {},
                                  {},
                                  {},
                                  {},
                                  {},
                                  {},
                                  {},
                                  {},
                                  {}};
    ApplyBounds(environment);
    environment.active_tables = [this] { return replica_.tables(); };
    environment.node_count = [this] { return group_.NodeCount(clock_()); };
    environment.uniform_random = [this] {
      return std::uniform_real_distribution<double>(0, 1)(random_);
    };
    environment.time_since_shutdown = [this] {
      return shutdown_at_.has_value()
                 ? std::chrono::duration_cast<milliseconds>(clock_() -
                                                            *shutdown_at_)
                 : milliseconds(-1);
    };
    environment.on_execution_started = [this](const std::string& workspace) {
      ledger_.RecordBegun(workspace, median_clock_.NowMs(clock_()) /
                                         settings_.bounds.usage_window.count());
    };
    environment.on_announcement =
        [this](std::string_view what, const std::string& upstream,
               const std::string& request_id, milliseconds duration) {
          LogAnnouncement(what, upstream, request_id, duration);
        };
    environment.on_quarantine_changed = [this] { TellQuarantineNews(); };
    environment.on_attempt_failed = [this](const attempt_record& record) {
      metrics_.RecordFailedAttempt(record);
      WriteLog(ToLogEntry(record));
    };
    SetHostBounds(environment);
    environment.on_request_ended = [this](const request_record& record) {
      metrics_.RecordRequest(record);
      WriteLog(ToLogEntry(record));
    };
    return environment;
  }

  /// Sets what the resources of the host bound.
  void SetHostBounds(relay_environment& environment) {
    environment.parameters.clients.max_clients =
        MaxClients(client_capacity{}.max_clients, settings_.file_descriptors);
    environment.memory =
        std::make_shared<memory_account>(BoundsOfHost(settings_.memory_mb));
    environment.on_memory_relief = [this](const memory_relief& relief) {
      metrics_.RecordMemoryRelief(relief);
      LogEvent(log_level::kWarn, "memory is short",
               {{"pressure", std::string(ToString(relief.pressure))},
                {"held_bytes", std::to_string(relief.held)},
                {"limit_bytes", std::to_string(relief.limit)},
                {"given_up", std::to_string(relief.given_up)}});
    };
  }

  rollout_environment MakeRolloutEnvironment(row_store& store) {
    return {
        store,
        settings_.name,
        incarnation_,
        [this](time_point now) -> std::optional<held_lease> {
          if (!duties_.MayAct(now)) {
            return std::nullopt;
          }
          return held_lease{duties_.fencing_token(), duties_.LeaseCondition()};
        },
        [this](time_point now) { return group_.LivePeers(now); },
        [this] { return balancer_.Entries(); },
        [this](time_point now) { return median_clock_.NowMs(now); },
        [this](const endpoint& target, const std::string& datagram) {
          channel_.Send(target, datagram);
        },
        [this](const std::string& datagram) { Broadcast({datagram}); },
        adapter_.rollout_status,
        [this](const rollout_plan& plan) { LogRollout(plan); },
        clock_};
  }

  stream_versions_environment MakeStreamEnvironment(row_store& store) {
    return {store,
            settings_.name,
            incarnation_,
            settings_.first_start,
            clock_,
            [this] { return balancer_.Entries(); },
            [this] { return replica_.upstreams_current_as_of(); },
            [this] { return ResumableServices(); },
            [this](time_point now) { return group_.NodeCount(now); },
            [this](time_point now) {
              std::vector<std::string> nodes = group_.LivePeers(now);
              if (nodes.empty() && now - started_at_ < kFirstReportsTime) {
                return std::vector<std::string>{};
              }
              nodes.push_back(settings_.name);
              return FirstByRendezvous(kStreamsTable, nodes, kStreamWriters);
            },
            [this](const std::string& node, const std::string& datagram) {
              const std::optional<endpoint> target = group_.AddressOf(node);
              if (target.has_value()) {
                SendFragmented(*target, datagram);
              }
            },
            [this] {
              return std::uniform_real_distribution<double>(0, 1)(random_);
            },
            [this](std::string_view call, store_outcome outcome) {
              metrics_.RecordStoreCall(kStreamsTable, std::string(call));
              if (outcome != store_outcome::kDone) {
                LogEvent(log_level::kInfo, "stream versions",
                         {{"call", std::string(call)},
                          {"outcome", std::string(ToString(outcome))}});
              }
            }};
  }

  /// The services of routes whose streams clients may take up again.
  std::set<std::string> ResumableServices() {
    const tables_snapshot active = replica_.tables();
    if (active.tables == nullptr) {
      return {};
    }
    if (active.tables != resumable_tables_) {
      resumable_tables_ = active.tables;
      resumable_services_.clear();
      for (const service_route& route : active.tables->map().routes) {
        if (!route.resumable) {
          continue;
        }
        for (const weighted_service& service : route.services) {
          resumable_services_.insert(service.service);
        }
      }
    }
    return resumable_services_;
  }

  void OnRollout(const rollout_order& order) {
    LogEvent(log_level::kInfo, "rollout ordered",
             {{"service", order.service},
              {"target", order.target},
              {"period_ms", std::to_string(order.period.count())},
              {"position", ToString(order.position)},
              {"carried_out", rollouts_ != nullptr ? "true" : "false"}});
    if (rollouts_ != nullptr) {
      rollouts_->OnOrder(order);
    }
  }

  void LogRollout(const rollout_plan& plan) {
    metrics_.RecordRolloutPlan(std::string(ToString(plan.stage)));
    LogEvent(plan.stage == rollout_stage::kRolledBack ? log_level::kWarn
                                                      : log_level::kInfo,
             "rollout plan",
             {{"service", plan.order.service},
              {"target", plan.order.target},
              {"stage", std::string(ToString(plan.stage))},
              {"share", std::to_string(plan.share)},
              {"upstreams", std::to_string(plan.canary_upstreams)},
              {"moved_routes", std::to_string(plan.moved_routes.size())},
              {"fence", std::to_string(plan.fencing_token)},
              {"sequence", std::to_string(plan.sequence)},
              {"reason", plan.reason}});
  }

  void LogAnnouncement(std::string_view what, const std::string& upstream,
                       const std::string& request_id, milliseconds duration) {
    metrics_.RecordAnnouncement(what);
    LogEvent(log_level::kInfo, "upstream announced",
             {{"what", std::string(what)},
              {"upstream", upstream},
              {"request_id", request_id},
              {"duration_ms", std::to_string(duration.count())}});
  }

  request_quarantine_parameters MakeRequestQuarantineParameters() {
    request_quarantine_parameters parameters = RequestQuarantineOfRelay();
    parameters.end_delay =
        milliseconds(std::uniform_int_distribution<milliseconds::rep>(
            0, kMaxQuarantineEndDelay.count())(random_));
    return parameters;
  }

  void ApplyBounds(relay_environment& environment) const {
    environment.gate.max_tables_age_to_accept_key =
        settings_.bounds.strict_revocation
            ? Scale(settings_.bounds.revocation, kMaxKeyAgeShare)
            : kMaxKeyAgeWithoutStore;
    environment.gate.max_tables_age_to_deny = settings_.bounds.apply_deadline;
    environment.quota_overage = settings_.bounds.quotas;
    environment.parameters.leaving_time =
        std::max(settings_.bounds.drain - kLeavingMargin, milliseconds(0));
    const shutdown_plan plan = MakeShutdownPlan(settings_.bounds.grace_period);
    environment.parameters.max_tables_delay = settings_.bounds.apply_deadline;
    environment.parameters.reject_new_after = plan.reject_new_after;
    environment.parameters.shutdown_limit = plan.limit;
  }

  duty_environment MakeDutyEnvironment(row_store& store, duty_calls& calls) {
    return {
        loop_,
        store,
        calls,
        ledger_,
        [this] {
          std::vector<std::string> names = group_.LivePeers(clock_());
          names.push_back(settings_.name);
          return names;
        },
        [this](time_point now) { return median_clock_.NowMs(now); },
        [this](time_point now) { return PlanFleetOrders(now); },
        [this](const fleet_order& order, duty_outcome outcome, time_point now) {
          planner_.OnOrderOutcome(order, outcome, now);
          LogOrder(order, outcome);
        },
        [this](std::string_view event, int64_t fence,
               const std::string& detail) {
          LogEvent(log_level::kInfo, std::string(event),
                   {{"fence", std::to_string(fence)}, {"detail", detail}});
        },
        clock_};
  }

  std::vector<fleet_order> PlanFleetOrders(time_point now) {
    std::vector<fleet_order> orders;
    const tables_snapshot active = replica_.tables();
    if (active.tables == nullptr) {
      return orders;
    }
    for (const service_pool& pool : active.tables->map().pools) {
      if (!pool.scaling.has_value()) {
        continue;
      }
      fleet_view view{pool.name,
                      *pool.scaling,
                      pool.engine.has_value() ? pool.engine->slots : 0,
                      {},
                      balancer_.Running(pool.name, now)};
      for (const upstream_entry& entry : balancer_.Entries()) {
        const bool is_capacity =
            rollouts_ == nullptr ||
            !rollouts_->router().IsOutsideCapacity(pool.name, entry.version);
        if (entry.service == pool.name && is_capacity) {
          view.upstreams.push_back({entry, balancer_.RunningAt(entry.id, now)});
        }
      }
      for (const fleet_order& order : planner_.Plan(view, now)) {
        orders.push_back(order);
      }
    }
    return orders;
  }

  void LogOrder(const fleet_order& order, duty_outcome outcome) {
    LogEvent(log_level::kInfo, "upstreams ordered",
             {{"service", order.service},
              {"availability_zone", order.availability_zone},
              {"reclaimable", order.reclaimable ? "true" : "false"},
              {"count", std::to_string(order.count)},
              {"running",
               std::to_string(balancer_.Running(order.service, clock_()))},
              {"outcome", std::string(ToString(outcome))}});
  }

  void RunHousekeeping() {
    const time_point now = clock_();
    // Read the wall clock again each time: after the host was suspended, an old
    // reading would be wrong.
    median_clock_.RecordOwn(wall_clock_(), now);
    ledger_.DropOldWindows(median_clock_.NowMs(now) /
                           settings_.bounds.usage_window.count());
    for (const std::string& id : balancer_.DropRemoved(now)) {
      LogEvent(log_level::kInfo, "upstream changed",
               {{"upstream", id}, {"state", "lapsed"}});
    }
    LogSpeedChanges(now);
    LogPaceChanges(now);
    metrics_.SetClients(server_.clients());
    metrics_.SetHeldBytes(environment_.memory->held());
    quarantine_.Tick(now);
    crashing_requests_.Tick(now);
    TellQuarantineNews();
    archive_.Tick(now, ArchiveRole(now));
    streams_.Tick(now);
    if (rollouts_ != nullptr) {
      rollouts_->Tick(ReportPeriod(group_.NodeCount(now)), now);
    }
    SendReportIfDue(now);
  }

  void LogSpeedChanges(time_point now) {
    for (const speed_change& change : balancer_.UpdateSpeeds(now)) {
      metrics_.RecordSpeedChange();
      LogEvent(
          log_level::kInfo, "upstream speed estimated",
          {{"upstream", change.upstream},
           {"prefill_slowness", FormatFactor(change.slowness.prefill)},
           {"tokens_slowness", FormatFactor(change.slowness.tokens)},
           {"prefill_windows", FormatFactor(change.evidence.prefill.weight)},
           {"tokens_windows", FormatFactor(change.evidence.tokens.weight)}});
    }
  }

  void LogPaceChanges(time_point now) {
    for (const pace_change& change : balancer_.UpdatePaces(now)) {
      metrics_.RecordPaceChange(change.begun);
      LogEvent(log_level::kInfo, "upstream limit changed",
               {{"upstream", change.upstream},
                {"state", change.begun ? "begun" : "ended"},
                {"limit", FormatFactor(change.limit)}});
    }
  }

  void SendReportIfDue(time_point now) {
    const milliseconds period = ReportPeriod(group_.NodeCount(now));
    replica_.UpdatePolling(now);
    const milliseconds silence =
        std::max(kMinPeerSilence, kPeerSilencePeriods * period);
    group_.SetLiveTimeout(silence);
    quotas_.SetPeerTimeout(silence);
    quotas_.SetReportPeriod(period);
    balancer_.SetMaxPeerReportAge(std::max(kMinPeerLoadLifetime, silence));
    const std::vector<endpoint> peers = group_.ReportTargets(now);
    ReportQuarantines(quarantine_schedule_.NextTargets(
                          peers, kReportsPerQuarantineReport * period, now),
                      now);
    std::vector<endpoint> targets =
        report_schedule_.NextTargets(peers, period, now);
    if (now >= next_lost_peer_report_) {
      next_lost_peer_report_ = now + kLostPeerReportInterval;
      const std::vector<endpoint> lost = group_.PresumedGone(now);
      targets.insert(targets.end(), lost.begin(), lost.end());
    }
    if (!targets.empty()) {
      SendReport(MakeReport(now), targets);
    }
    if (quotas_.IsEarlyReportDue(now)) {
      BroadcastQuotas(now);
    }
  }

  /// Tells all peers of grants that they do not expect.
  void BroadcastQuotas(time_point now) {
    peer_report report;
    report.node = settings_.name;
    report.incarnation = incarnation_;
    report.sequence = ++report_sequence_;
    report.parts = kQuotasOnlyParts;
    report.wall_ms = median_clock_.OwnMs(now);
    report.is_draining = shutdown_at_.has_value();
    report.quotas = quotas_.EarlyReports(group_.NodeCount(now), now);
    metrics_.RecordEarlyQuotaReport();
    Broadcast(EncodeReport(report));
  }

  void ReportQuarantines(const std::vector<endpoint>& targets, time_point now) {
    quarantine_notice notice;
    notice.quarantined = quarantine_.Report(now);
    metrics_.SetQuarantines(quarantine_.Entries(now).size());
    request_notice requests;
    requests.quarantined = crashing_requests_.Report(now);
    metrics_.SetQuarantinedRequests(crashing_requests_.QuarantineCount());
    std::vector<std::string> datagrams = EncodeNotice(notice);
    for (const std::string& bytes : EncodeRequestNotice(requests)) {
      datagrams.push_back(bytes);
    }
    for (const std::string& bytes : datagrams) {
      for (const endpoint& target : targets) {
        channel_.Send(target, bytes);
      }
    }
  }

  void TellQuarantineNews() {
    const quarantine_notice notice = quarantine_.TakeNotice();
    if (!notice.empty()) {
      Broadcast(EncodeNotice(notice));
    }
    // What one crash broke arrives in one turn of the loop and goes out in one
    // datagram.
    if (request_news_timer_ == nullptr) {
      request_news_timer_ =
          loop_.After(milliseconds(0), [this] { TellRequestNews(); });
    }
  }

  void TellRequestNews() {
    request_news_timer_ = nullptr;
    const request_notice notice = crashing_requests_.TakeNotice();
    if (!notice.empty()) {
      Broadcast(EncodeRequestNotice(notice));
    }
  }

  [[nodiscard]] archive_role ArchiveRole(time_point now) const {
    const std::vector<std::string> peers = group_.LivePeers(now);
    const size_t others = group_.NodeCount(now) - 1;
    const size_t position =
        RendezvousPosition("quarantines", settings_.name, peers);
    archive_role role;
    role.is_writer = position < kArchiveWriters;
    role.is_isolated = 2 * peers.size() < others;
    role.is_second_writer = position > 0;
    return role;
  }

  void LogQuarantine(const quarantine_event& event) {
    metrics_.RecordQuarantineChange(std::string(event.what));
    archive_.OnChange();
    LogEvent(log_level::kWarn, "prompt parts " + std::string(event.what),
             {{"source", std::string(event.source)},
              {"part_keys", ToString(event.entry.parts)},
              {"first_crash_age_ms",
               std::to_string(event.entry.first_crash_age.count())},
              {"remaining_ms", std::to_string(event.entry.remaining.count())},
              {"relapses", std::to_string(event.entry.relapses)}});
  }

  void LogRequestQuarantine(const request_quarantine_event& event) {
    metrics_.RecordRequestQuarantineChange(std::string(event.what));
    archive_.OnChange();
    LogEvent(
        log_level::kWarn, "request " + std::string(event.what),
        {{"source", std::string(event.source)},
         {"request_key", ToString(std::vector<part_key>{event.entry.request})},
         {"first_crash_age_ms",
          std::to_string(event.entry.first_crash_age.count())},
         {"remaining_ms", std::to_string(event.entry.remaining.count())},
         {"relapses", std::to_string(event.entry.relapses)}});
  }

  void SendFragmented(const endpoint& target, const std::string& payload) {
    for (const std::string& datagram : SplitIntoFragments(payload)) {
      channel_.Send(target, datagram);
    }
  }

  void SendReport(const peer_report& report,
                  const std::vector<endpoint>& targets) {
    const std::vector<std::string> datagrams = EncodeReport(report);
    report_sequence_ += static_cast<int64_t>(datagrams.size());
    for (const endpoint& target : targets) {
      for (const std::string& bytes : datagrams) {
        channel_.Send(target, bytes);
      }
    }
  }

  peer_report MakeReport(time_point now) {
    return {settings_.name,
            incarnation_,
            report_sequence_ + 1,
            0,
            1,
            median_clock_.OwnMs(now),
            shutdown_at_.has_value(),
            balancer_.OwnUpstreamReports(now),
            quotas_.OwnReports(group_.NodeCount(now), now),
            ledger_.OwnCounts(),
            replica_.tables_position(),
            replica_.upstreams_position()};
  }

  /// Sends changes to all peers. Where these are many, some of them pass the
  /// changes on; those that a failing one leaves out read them from the store.
  void PassOn(const table_changes& changes) {
    std::vector<endpoint> targets = group_.ReportTargets(clock_());
    std::shuffle(targets.begin(), targets.end(), random_);
    const std::vector<forward_group> groups = MakeForwardGroups(targets);
    for (const std::string& payload :
         EncodeChanges(changes, kMaxFragmentedBytes)) {
      for (const std::string& datagram : SplitIntoFragments(payload)) {
        SendToGroups(datagram, groups);
      }
    }
    SendBroadcasts();
  }

  void SendToGroups(const std::string& datagram,
                    const std::vector<forward_group>& groups) {
    for (const forward_group& group : groups) {
      broadcasts_.Add(
          {group.others.empty() ? datagram
                                : EncodeForwarded({group.others, datagram})},
          {group.first});
    }
  }

  /// Passes a payload on to the peers that its sender names.
  void Forward(const forwarded_datagram& datagram) {
    const std::vector<endpoint> peers = group_.ReportTargets(clock_());
    std::vector<endpoint> targets = datagram.targets;
    std::erase_if(targets, [&](const endpoint& target) {
      return std::find(peers.begin(), peers.end(), target) == peers.end();
    });
    broadcasts_.Add({datagram.payload}, targets);
    SendBroadcasts();
  }

  void Broadcast(const std::vector<std::string>& datagrams) {
    broadcasts_.Add(datagrams, group_.ReportTargets(clock_()));
    SendBroadcasts();
  }

  void SendBroadcasts() {
    for (const broadcast_item& item : broadcasts_.NextDue(clock_())) {
      channel_.Send(item.target, *item.datagram);
    }
    broadcast_timer_ =
        broadcasts_.empty()
            ? nullptr
            : loop_.After(kBroadcastInterval, [this] { SendBroadcasts(); });
  }

  void OnDatagram(const endpoint& from, std::string_view bytes) {
    const std::optional<peer_report> report = DecodeReport(bytes);
    if (!report.has_value()) {
      OnOtherDatagram(from, bytes);
      return;
    }
    metrics_.RecordDatagram(true);
    const time_point now = clock_();
    if (!group_.OnReport(report->node, from, report->incarnation,
                         report->sequence, report->is_draining, now)) {
      return;
    }
    if (report->parts == kQuotasOnlyParts) {
      quotas_.OnPeerReport(report->node, report->incarnation, report->quotas,
                           now);
      return;
    }
    balancer_.SetPeerReport({report->node, report->part, report->parts},
                            report->upstreams, now);
    if (report->part == 0) {
      quotas_.OnPeerReport(report->node, report->incarnation, report->quotas,
                           now);
    }
    ledger_.Merge(report->node + "/" + std::to_string(report->incarnation),
                  report->usage);
    median_clock_.OnPeerReport(report->node, report->wall_ms, now);
    replica_.OnPeerPositions(report->tables_position,
                             report->upstreams_position);
  }

  void OnOtherDatagram(const endpoint& from, std::string_view bytes) {
    if (rollouts_ != nullptr && rollouts_->OnDatagram(from, bytes)) {
      metrics_.RecordDatagram(true);
      return;
    }
    const std::optional<forwarded_datagram> forwarded = DecodeForwarded(bytes);
    if (forwarded.has_value()) {
      metrics_.RecordDatagram(true);
      Forward(*forwarded);
      OnChangesDatagram(forwarded->payload);
      return;
    }
    if (OnChangesDatagram(bytes)) {
      return;
    }
    if (streams_.OnDatagram(bytes, clock_())) {
      metrics_.RecordDatagram(true);
      return;
    }
    const std::optional<quarantine_notice> notice = DecodeNotice(bytes);
    if (notice.has_value()) {
      metrics_.RecordDatagram(true);
      quarantine_.OnNotice(*notice, clock_());
      return;
    }
    const std::optional<request_notice> requests = DecodeRequestNotice(bytes);
    metrics_.RecordDatagram(requests.has_value());
    if (requests.has_value()) {
      crashing_requests_.OnNotice(*requests, clock_());
      TellQuarantineNews();
    }
  }

  /// Applies changes of a table; returns whether `bytes` are such or a fragment
  /// of such.
  bool OnChangesDatagram(std::string_view bytes) {
    if (IsFragment(bytes)) {
      metrics_.RecordDatagram(true);
      const std::optional<std::string> whole = fragments_.Add(bytes, clock_());
      if (whole.has_value() && !streams_.OnDatagram(*whole, clock_())) {
        OnChangesDatagram(*whole);
      }
      return true;
    }
    const std::optional<table_changes> changes = DecodeChanges(bytes);
    if (!changes.has_value()) {
      return false;
    }
    metrics_.RecordDatagram(true);
    replica_.OnPeerChanges(*changes);
    return true;
  }

  [[nodiscard]] bool IsReady(time_point now) const {
    const tables_snapshot active = replica_.tables();
    return !shutdown_at_.has_value() && !server_.is_full() &&
           active.tables != nullptr && active.current_as_of.has_value() &&
           now - *active.current_as_of <=
               Scale(settings_.bounds.revocation, kMaxReadyAgeShare) &&
           replica_.upstreams_known();
  }

  void HandleReadiness(const http_exchange_ptr& exchange) {
    const bool ready = IsReady(clock_());
    const bool path_matches =
        exchange->request().path() == adapter_.readiness_path;
    if (!path_matches) {
      exchange->Reply(
          {kNotFoundStatus, {{"Content-Type", "text/plain"}}, "not found\n"});
      return;
    }
    exchange->Reply({ready ? kOkStatus : kUnavailableStatus,
                     {{"Content-Type", "text/plain"}},
                     ready ? "ready\n" : "not ready\n"});
  }

  void HandleMetrics(const http_exchange_ptr& exchange) {
    exchange->Reply({kOkStatus,
                     {{"Content-Type", "text/plain; version=0.0.4"}},
                     metrics_.Render()});
  }

  /// Stops the loop once all clients are gone, or the shutdown limit is
  /// reached, the last answers are sent and no request is on its way.
  void ExitIfDrained() {
    const shutdown_plan plan = MakeShutdownPlan(settings_.bounds.grace_period);
    const milliseconds since_shutdown = environment_.time_since_shutdown();
    if (since_shutdown >= plan.close_idle_after) {
      server_.CloseIdle(clock_());
    }
    if (since_shutdown >= plan.limit ? !AreLastAnswersSent(plan)
                                     : !IsDrained(plan)) {
      return;
    }
    server_.RecordExit();
    LogEvent(log_level::kInfo, "stopped",
             {{"after_ms", std::to_string(since_shutdown.count())}});
    log_.Flush();
    loop_.Stop();
  }

  /// Whether no client is left, neither here nor in the system's queue.
  bool IsDrained(const shutdown_plan& plan) {
    if (server_.clients() > 0 ||
        environment_.time_since_shutdown() <= plan.reject_new_after) {
      return false;
    }
    server_.StopListening();
    return server_.clients() == 0;
  }

  /// Ends what is left at the limit; returns whether all answers are sent or
  /// the time is up.
  bool AreLastAnswersSent(const shutdown_plan& plan) {
    server_.StopListening();
    server_.AbortAll();
    // What AbortAll() wrote is sent in the next turns of the loop, which also
    // read what came in a pause of the loop.
    if (!std::exchange(limit_reached_, true)) {
      return server_.clients() == 0;
    }
    return (server_.IsSettled() && !server_.MayAwaitRequest(clock_())) ||
           environment_.time_since_shutdown() >= plan.exit;
  }

  void OnClientEnded(const client_end& end) {
    metrics_.RecordClientEnd(end);
    if (end.DropsBytes() || end.IsEarly()) {
      WriteLog(ToLogEntry(end));
    }
  }

  void LogEvent(log_level level, const std::string& message,
                std::vector<log_field> fields) {
    log_entry entry;
    entry.level = level;
    entry.message = message;
    entry.fields = std::move(fields);
    WriteLog(entry);
  }

  void WriteLog(const log_entry& entry) {
    if (!log_bound_.Allow(clock_())) {
      metrics_.RecordLogLineDropped();
      return;
    }
    log_.Log(entry);
  }

  event_loop& loop_;
  relay_settings settings_;
  deployment_adapter adapter_;
  logger& log_;
  clock_fn clock_;
  wall_clock_fn wall_clock_;
  time_point started_at_;
  int64_t incarnation_;
  int64_t report_sequence_ = 0;
  std::mt19937 random_;
  log_bound log_bound_;
  relay_metrics metrics_;
  std::optional<time_point> shutdown_at_;
  bool limit_reached_ = false;
  load_balancer balancer_;
  upstream_connections connections_;
  token_quotas quotas_;
  quota_priority quota_order_{quota_priority_parameters{}};
  service_admission service_order_{service_admission_parameters{}};
  service_retry_budget retries_;
  part_quarantine quarantine_;
  request_quarantine crashing_requests_;
  quarantine_archive archive_;
  usage_ledger ledger_;
  fleet_planner planner_{fleet_planner_parameters{}};
  std::unique_ptr<rollout_coordinator> rollouts_;
  peer_group group_;
  median_clock median_clock_;
  relay_environment environment_;
  peer_channel channel_;
  store_replica replica_;
  stream_versions streams_;
  /// The tables of which resumable_services_ was made.
  std::shared_ptr<const service_lookup> resumable_tables_;
  std::set<std::string> resumable_services_;
  relay_server server_;
  http_server readiness_;
  http_server metrics_server_;
  duty_runner duties_;
  time_point next_lost_peer_report_{};
  report_schedule report_schedule_;
  report_schedule quarantine_schedule_;
  broadcast_queue broadcasts_{kBroadcastBytesPerSecond};
  fragment_assembler fragments_;
  event_loop::handle_ptr broadcast_timer_;
  event_loop::handle_ptr request_news_timer_;
  event_loop::handle_ptr housekeeping_timer_;
  event_loop::handle_ptr exit_timer_;
};

relay_node::relay_node(event_loop& loop, const relay_settings& settings,
                       const deployment_adapter& adapter, row_store& store,
                       duty_calls& calls, logger& log, clock_fn clock,
                       wall_clock_fn wall_clock)
    : impl_(std::make_unique<impl>(loop, settings, adapter, store, calls, log,
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

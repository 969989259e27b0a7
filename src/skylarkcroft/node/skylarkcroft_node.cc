#include "skylarkcroft/node/skylarkcroft_node.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "skylarkcroft/admission/skylarkcroft_admission.h"
#include "skylarkcroft/attempt/skylarkcroft_recent_latency.h"
#include "skylarkcroft/attempt/skylarkcroft_retry_budget.h"
#include "skylarkcroft/claims/skylarkcroft_claim_store.h"
#include "skylarkcroft/control/skylarkcroft_pool_control.h"
#include "skylarkcroft/control/skylarkcroft_reclaim_watch.h"
#include "skylarkcroft/control/skylarkcroft_stream_mover.h"
#include "skylarkcroft/deferred/skylarkcroft_deferred_worker.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_digest.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/limits/skylarkcroft_caller_limiter.h"
#include "skylarkcroft/limits/skylarkcroft_limit_peers.h"
#include "skylarkcroft/log/skylarkcroft_logger.h"
#include "skylarkcroft/metrics/skylarkcroft_metrics_registry.h"
#include "skylarkcroft/node/skylarkcroft_front.h"
#include "skylarkcroft/node/skylarkcroft_node_handover.h"
#include "skylarkcroft/node/skylarkcroft_node_mesh.h"
#include "skylarkcroft/node/skylarkcroft_node_metrics.h"
#include "skylarkcroft/node/skylarkcroft_node_quarantine.h"
#include "skylarkcroft/node/skylarkcroft_operators_api.h"
#include "skylarkcroft/node/skylarkcroft_pool_windows.h"
#include "skylarkcroft/node/skylarkcroft_registry_streams.h"
#include "skylarkcroft/node/skylarkcroft_request_registry.h"
#include "skylarkcroft/node/skylarkcroft_request_runner.h"
#include "skylarkcroft/node/skylarkcroft_status_report.h"
#include "skylarkcroft/platform/skylarkcroft_cloud_api.h"
#include "skylarkcroft/platform/skylarkcroft_group_commit.h"
#include "skylarkcroft/platform/skylarkcroft_host_list.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"
#include "skylarkcroft/platform/skylarkcroft_weight_store.h"
#include "skylarkcroft/routing/skylarkcroft_cache_event_poller.h"
#include "skylarkcroft/routing/skylarkcroft_health_prober.h"
#include "skylarkcroft/routing/skylarkcroft_load_poller.h"
#include "skylarkcroft/routing/skylarkcroft_scored_choice.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"
#include "skylarkcroft/tables/skylarkcroft_active_tables.h"
#include "skylarkcroft/tables/skylarkcroft_table_editor.h"
#include "skylarkcroft/tables/skylarkcroft_table_loader.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kLoadPollPeriod{250};
constexpr milliseconds kCacheEventPollPeriod{250};
constexpr milliseconds kProbePeriod{100};
// Share of the first tokens that come before a second try starts.
constexpr double kHedgeQuantile = 0.95;
constexpr milliseconds kDrainPollPeriod{50};
constexpr milliseconds kFirstReportsCheck{20};
// Time before the end of a shutdown at which what is unfinished is moved.
constexpr milliseconds kHandoverMargin{3000};
// Longest time for sending the errors of what is cut at the end.
constexpr milliseconds kFlushLimit{1000};
constexpr milliseconds kFlushPollPeriod{10};
constexpr milliseconds kLimitsPeriodPerMember{60};
/// Up to this many members, claims do not wait for the next round.
constexpr size_t kHurriedMembers = 16;
constexpr size_t kMaxQueuedPerPool = 10000;
constexpr size_t kMaxQueuedPerRank = 2000;
constexpr size_t kIncarnationBytes = 4;
constexpr size_t kTrackedBlocksPerUpstream = 8192;

uint64_t RandomSeed() {
  std::random_device device;
  constexpr unsigned kHighShift = 32;
  return (static_cast<uint64_t>(device()) << kHighShift) | device();
}

}  // namespace

class node::impl {
 public:
  impl(event_loop& loop, const settings& config, logger& log)
      : loop_(loop),
        config_(config),
        log_(log),
        random_(RandomSeed()),
        client_(loop),
        store_(MakeTableServiceClient(client_, config_.platform.tables,
                                      config_.platform.timeout)),
        hosts_(MakeHostListClient(client_, config_.platform.hosts,
                                  config_.platform.timeout)),
        loader_(*store_, tables_, SteadyNow,
                [this](const std::string& message) {
                  log_.Log({log_level::kError, message, "", "", "", "", {}});
                }),
        editor_(loop, *store_, tables_, config_.name, SteadyNow, WallNowMs),
        incarnation_(RandomHex(kIncarnationBytes)),
        commits_(loop, *store_, config_.name + "-" + incarnation_, {},
                 SteadyNow),
        claims_(loop, *store_, commits_, SteadyNow, WallNowMs),
        node_metrics_(metrics_),
        quarantine_(log, metrics_),
        windows_(directory_, [this] { return LiveNodes(); }),
        admission_(MakeAdmission()),
        runs_(MakeRunEnvironment()),
        runner_({loop, config_.answers, tables_, *admission_, registry_, runs_,
                 node_metrics_, limits_, SteadyNow, WallNowMs}),
        front_({loop, config_, tables_, registry_, runner_, node_metrics_,
                limits_, SteadyNow, WallNowMs, incarnation_,
                [this](const http_exchange_ptr& exchange,
                       const std::string& request_id) {
                  return handover_->ReadElsewhere(exchange, request_id);
                },
                [this]() -> deferred_worker& { return deferred_; }}),
        deferred_(MakeDeferredEnvironment(), config_.deferred),
        operators_(MakeOperatorsEnvironment()),
        poller_(loop, client_, directory_, kLoadPollPeriod, SteadyNow),
        cache_poller_(loop, client_, directory_, prefixes_,
                      kCacheEventPollPeriod),
        prober_(loop, client_, directory_, kProbePeriod, SteadyNow),
        weights_(MakeWeightStoreClient(client_, config_.platform.weights,
                                       config_.platform.timeout)),
        control_({loop, client_, *store_, commits_, *weights_, tables_,
                  directory_, [this] { return LiveNames(); }, SteadyNow},
                 {config_.name, incarnation_}, {}, {}),
        cloud_(MakeCloudApiClient(client_, config_.platform.cloud,
                                  config_.platform.timeout)),
        streams_(registry_, directory_),
        mover_(loop, client_, streams_, {}, SteadyNow),
        reclaims_({loop, *cloud_, *hosts_, runs_.random, SteadyNow, WallNowMs},
                  [this](const endpoint& address, time_point notice_end) {
                    directory_.OnReclaimNotice(address);
                    mover_.OnReclaimNotice(address, notice_end);
                  }),
        callers_server_(loop, config_.callers_address, config_.http,
                        [this](const http_exchange_ptr& exchange) {
                          front_.OnRequest(exchange);
                        }),
        operators_server_(loop, config_.operators_address, config_.http,
                          [this](const http_exchange_ptr& exchange) {
                            OnOperatorsRequest(exchange);
                          }),
        poll_timer_(
            loop.Every(config_.tables.poll_period, [this] { loader_.Poll(); })),
        sample_timer_(loop.Every(kSamplePeriod, [this] { SamplePools(); })),
        first_reports_timer_(
            loop.Every(kFirstReportsCheck, [this] { ServeOnceHeard(); })) {
    tables_.AddListener([this](const table_set_ptr& tables) {
      limits_.SetCallers(tables->routes, SteadyNow());
      directory_.SetPools(tables->pools, SteadyNow());
      poller_.PollAll();
      log_.Log({log_level::kInfo,
                "tables in force",
                "",
                "",
                "",
                "",
                {{"revision", std::to_string(tables->revision)}}});
    });
    mesh_ = std::make_unique<node_mesh>(node_mesh_environment{
        loop, config_, tables_, metrics_, log_, callers_server_.address(),
        operators_server_.address(), *hosts_, [this] { loader_.Poll(); },
        random_()});
    handover_ = std::make_unique<node_handover>(node_handover_environment{
        loop, client_, config_, registry_, front_, runner_, *mesh_,
        config_.name + "." + incarnation_, SteadyNow, WallNowMs});
    directory_.SetEventHandler([this](upstream_event event) {
      node_metrics_.CountUpstreamEvent(ToString(event));
    });
    mesh_->OnTick([this](const mesh_time& at) { UpdateLimits(at.now); });
    quarantine_.Join(*mesh_);
    front_.SetReady(false);
    loader_.Poll();
  }

  void Shutdown() {
    if (shutdown_requested_) {
      EndNow();
      return;
    }
    shutdown_requested_ = true;
    log_.Log({log_level::kInfo, "shutting down", "", "", "", "", {}});
    first_reports_timer_.reset();
    front_.SetReady(false);
    control_.Release();
    mesh_->part().PublishDraining();
    const milliseconds settle = config_.shutdown.settle;
    const milliseconds limit = config_.shutdown.limit;
    settle_timer_ = loop_.After(settle, [this] { Drain(); });
    handover_timer_ =
        loop_.After(settle + limit - std::min(kHandoverMargin, limit / 2),
                    [this] { handover_->HandOver([](bool /*taken*/) {}); });
    limit_timer_ = loop_.After(settle + limit, [this] { EndNow(); });
  }

  const endpoint& callers_address() const { return callers_server_.address(); }
  const endpoint& operators_address() const {
    return operators_server_.address();
  }
  const endpoint& mesh_address() const { return mesh_->address(); }

 private:
  void OnOperatorsRequest(const http_exchange_ptr& exchange) {
    if (exchange->request().path() == "/peer/handover") {
      handover_->OnHandover(exchange);
      return;
    }
    operators_.OnRequest(exchange);
  }

  // A node that was just started does not know which upstreams are leaving.
  void ServeOnceHeard() {
    if (tables_.current()->revision == 0 ||
        !directory_.AllReported(SteadyNow())) {
      return;
    }
    first_reports_timer_.reset();
    front_.SetReady(true);
  }

  int64_t LiveNodes() const {
    // The mesh starts after the pools, and counts only the others.
    const size_t others =
        mesh_ == nullptr ? 0 : mesh_->part().members().active_count();
    return static_cast<int64_t>(others) + 1;
  }

  std::vector<std::string> LiveNames() const {
    std::vector<std::string> names{config_.name};
    if (mesh_ == nullptr) {
      return names;
    }
    for (const auto& [name, other] : mesh_->part().members().all()) {
      if (other.state != member_state::kRemoved && !other.details.is_draining) {
        names.push_back(name);
      }
    }
    return names;
  }

  std::unique_ptr<admission> MakeAdmission() {
    if (config_.policy.admission == "fifo") {
      return MakeFifoAdmission(
          [this](const std::string& pool, time_point now) {
            return directory_.AdmissionCapacity(pool, now);
          },
          kMaxQueuedPerPool);
    }
    ranked_hooks hooks;
    hooks.capacity = [this](const std::string& pool, time_point now) {
      return windows_.CapacityOf(pool, now);
    };
    if (config_.policy.admission == "strict") {
      return MakeStrictAdmission(hooks.capacity, kMaxQueuedPerRank);
    }
    hooks.policies = [this] { return tables_.current()->routes.policies(); };
    hooks.delivered_tokens = [this](const std::string& request_id) {
      const request_entry* entry = registry_.Find(request_id);
      return entry == nullptr
                 ? int64_t{0}
                 : static_cast<int64_t>(entry->result->tokens().size());
    };
    return MakeRankedAdmission(hooks, kMaxQueuedPerRank);
  }

  void SamplePools() {
    const time_point now = SteadyNow();
    windows_.Update(*admission_, now);
    for (const std::string& pool : directory_.PoolNames()) {
      node_metrics_.SetPool(pool, windows_.CapacityOf(pool, now),
                            admission_->Counts(pool));
    }
  }

  run_environment MakeRunEnvironment() {
    return {
        loop_,
        client_,
        directory_,
        claims_,
        quarantine_.parts(),
        quarantine_.requests(),
        MakeChoice(),
        [this](const std::string& pool) {
          BudgetOf(pool).RecordFirstAttempt();
        },
        [this](const std::string& pool) {
          return BudgetOf(pool).TryAcquireRetry();
        },
        [this](std::string_view reason) { node_metrics_.CountRetry(reason); },
        [this](std::string_view event) { node_metrics_.CountRunEvent(event); },
        [this](rank work_rank, duration elapsed) {
          node_metrics_.RecordFirstToken(work_rank, elapsed);
        },
        [this](const std::string& pool, duration elapsed) {
          first_token_times_[pool].Record(elapsed);
        },
        [this](const std::string& pool) { return HedgeDelay(pool); },
        [this] {
          return std::uniform_real_distribution<double>(0, 1)(random_);
        },
        SteadyNow};
  }

  deferred_dependencies MakeDeferredEnvironment() {
    return {loop_,
            *store_,
            commits_,
            config_.name + "." + incarnation_,
            [this](const deferred_request& request,
                   std::function<void(const deferred_run_result&)> done) {
              runner_.RunDeferred(request, std::move(done));
            },
            [this] { return OwnShards(); },
            SteadyNow,
            WallNowMs};
  }

  std::vector<size_t> OwnShards() const {
    return ShardsOf(config_.name, LiveNames());
  }

  operators_environment MakeOperatorsEnvironment() {
    return {
        tables_,
        editor_,
        *store_,
        metrics_,
        log_,
        config_.operator_key_digest,
        [this] { return Status(); },
        [this] { return DescribeRequests(registry_, SteadyNow()); },
        [this](int64_t revision, std::function<void(edit_propagation)> done) {
          mesh_->AwaitSpread(revision, std::move(done));
        }};
  }

  nlohmann::json Status() const {
    const time_point now = SteadyNow();
    nlohmann::json document =
        DescribeNode({config_, tables_, directory_, *admission_, windows_,
                      registry_, loader_.store_reachable(), front_.Ready(now)},
                     now);
    document["members"] = mesh_->Describe(now);
    document["control"] = control_.Describe(now);
    document["reclaims"] = {
        {"notices", reclaims_.notices()},
        {"transferred", mover_.counts().transferred},
        {"resumed", mover_.counts().resumed},
        {"recomputed_tokens", mover_.counts().recomputed_tokens},
        {"restart_tokens", mover_.counts().restart_tokens}};
    return document;
  }

  choose_fn MakeChoice() {
    if (config_.policy.routing == "random") {
      return MakeRandomChoice(random_());
    }
    if (config_.policy.routing == "least_loaded") {
      return MakeLeastLoadedChoice(random_());
    }
    return MakeScoredChoice(
        prefixes_, {}, [this] { return LiveNodes(); }, random_());
  }

  retry_budget& BudgetOf(const std::string& pool_name) {
    const pool* target = tables_.current()->pools.Find(pool_name);
    const double share = target == nullptr ? 0 : target->retry.budget_share;
    return budgets_.try_emplace(pool_name, share).first->second;
  }

  // Other nodes that the settings name.
  size_t ExpectedMembers() const {
    return static_cast<size_t>(std::count_if(
        config_.peers.begin(), config_.peers.end(),
        [this](const auto& peer) { return peer != mesh_->address(); }));
  }

  void UpdateLimits(time_point now) {
    mesh& part = mesh_->part();
    const milliseconds period =
        std::max(kLimitUpdatePeriod,
                 kLimitsPeriodPerMember *
                     static_cast<int64_t>(part.members().active_count()));
    if (draining_ || (limits_updated_ && now - *limits_updated_ < period)) {
      return;
    }
    limits_updated_ = now;
    const std::optional<limit_peers> peers =
        CollectLimitPeers(part, ExpectedMembers(), now);
    if (!peers) {
      return;
    }
    part.Publish(kLimitsTopic, EncodeAllocations(limits_.Update(*peers, now)));
    if (part.members().active_count() <= kHurriedMembers) {
      part.RequestEarlyRound();
    }
  }

  std::optional<duration> HedgeDelay(const std::string& pool) const {
    const auto found = first_token_times_.find(pool);
    if (!config_.policy.hedging || found == first_token_times_.end()) {
      return std::nullopt;
    }
    return found->second.Quantile(kHedgeQuantile);
  }

  void Drain() {
    // The others may use this node's parts from now on.
    draining_ = true;
    mesh_->part().Publish(kLimitsTopic, EncodeAllocations({}));
    mesh_->part().RequestEarlyRound();
    front_.RefuseNew();
    // Others take over what is stored.
    deferred_.Stop();
    callers_server_.StopAccepting();
    drain_timer_ = loop_.Every(kDrainPollPeriod, [this] {
      if (registry_.active_read() == 0 && front_.open_writers() == 0 &&
          handover_->active_reads() == 0 && AllSent()) {
        log_.Log({log_level::kInfo, "drained", "", "", "", "", {}});
        loop_.Stop();
      }
    });
  }

  [[nodiscard]] bool AllSent() const {
    return callers_server_.open_exchanges() == 0 &&
           !callers_server_.has_bytes_waiting();
  }

  // Ends what is under way with an error, and the loop once callers have taken
  // it.
  void EndNow() {
    if (flush_timer_) {
      return;
    }
    front_.RefuseNew();
    handover_timer_.reset();
    limit_timer_ = loop_.After(kFlushLimit, [this] { loop_.Stop(); });
    flush_timer_ = loop_.Every(kFlushPollPeriod, [this] {
      if (AllSent()) {
        loop_.Stop();
      }
    });
    runner_.FailAll(refusal_reason::kShuttingDown,
                    "this node has left; send it again");
  }

  event_loop& loop_;
  const settings config_;
  logger& log_;
  std::mt19937_64 random_;
  http_client client_;
  std::unique_ptr<table_service> store_;
  std::unique_ptr<host_list> hosts_;
  active_tables tables_;
  table_loader loader_;
  table_editor editor_;
  const std::string incarnation_;
  group_commit commits_;
  claim_store claims_;
  metrics_registry metrics_;
  caller_limiter limits_;
  std::optional<time_point> limits_updated_;
  bool draining_ = false;
  node_metrics node_metrics_;
  upstream_directory directory_;
  std::shared_ptr<prefix_tracker> prefixes_ =
      std::make_shared<prefix_tracker>(kTrackedBlocksPerUpstream);
  std::map<std::string, retry_budget> budgets_;
  std::map<std::string, recent_latency> first_token_times_;
  node_quarantine quarantine_;
  pool_windows windows_;
  std::unique_ptr<admission> admission_;
  request_registry registry_;
  run_environment runs_;
  request_runner runner_;
  front front_;
  deferred_worker deferred_;
  operators_api operators_;
  load_poller poller_;
  cache_event_poller cache_poller_;
  health_prober prober_;
  std::unique_ptr<weight_store> weights_;
  pool_control control_;
  std::unique_ptr<cloud_api> cloud_;
  registry_streams streams_;
  stream_mover mover_;
  reclaim_watch reclaims_;
  http_server callers_server_;
  http_server operators_server_;
  std::unique_ptr<node_mesh> mesh_;
  std::unique_ptr<node_handover> handover_;
  event_loop::handle_ptr poll_timer_;
  event_loop::handle_ptr sample_timer_;
  event_loop::handle_ptr first_reports_timer_;
  event_loop::handle_ptr settle_timer_;
  event_loop::handle_ptr drain_timer_;
  event_loop::handle_ptr handover_timer_;
  event_loop::handle_ptr limit_timer_;
  event_loop::handle_ptr flush_timer_;
  bool shutdown_requested_ = false;
};

node::node(event_loop& loop, const settings& config, logger& log)
    : impl_(std::make_unique<impl>(loop, config, log)) {}

node::~node() = default;

void node::Shutdown() { impl_->Shutdown(); }

const endpoint& node::callers_address() const {
  return impl_->callers_address();
}

const endpoint& node::operators_address() const {
  return impl_->operators_address();
}

const endpoint& node::mesh_address() const { return impl_->mesh_address(); }

}  // namespace skylarkcroft

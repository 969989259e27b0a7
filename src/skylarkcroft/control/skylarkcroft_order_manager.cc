#include "skylarkcroft/control/skylarkcroft_order_manager.h"

#include <optional>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr size_t kMaxLastOrders = 8;

engine_state TargetStateOf(const pool& spec) {
  engine_state target_state;
  target_state.model = spec.deployment.model;
  target_state.version = spec.deployment.version;
  target_state.adapters = spec.deployment.adapters;
  return target_state;
}

}  // namespace

struct order_manager::pool_progress {
  explicit pool_progress(const weight_fetch_intervals& intervals)
      : pacer(intervals) {}

  order_status status;
  weight_fetch_pacer pacer;
  std::map<std::string, time_point> draining_since;
  time_point next_round{};
  bool reading = false;
};

struct order_manager::round {
  controlled_pool target;
  std::shared_ptr<pool_progress> progress;
  std::vector<observed_upstream> observed;
  size_t pending_reads = 0;
};

order_manager::order_manager(order_environment environment, std::string issuer,
                             const order_settings& settings)
    : environment_(std::move(environment)),
      issuer_(std::move(issuer)),
      settings_(settings),
      timer_(environment_.loop.Every(kTickPeriod, [this] { Tick(); })) {}

order_manager::~order_manager() = default;

void order_manager::Tick() {
  for (const controlled_pool& target : environment_.pools()) {
    auto& progress = pools_[target.spec.name];
    if (!progress) {
      progress = std::make_shared<pool_progress>(settings_.intervals);
    }
    if (IsRoundDue(*progress, target.spec, environment_.clock())) {
      StartRound(target);
    }
  }
}

bool order_manager::IsRoundDue(const pool_progress& progress, const pool& spec,
                               time_point now) const {
  const pool_lease* lease = environment_.lease(spec.name);
  if (progress.reading || now < progress.next_round || lease == nullptr ||
      !lease->MayAct(now)) {
    return false;
  }
  // Orders of the previous holder may still arrive. Upstreams that check fences
  // reject them; for others, wait until those orders have expired.
  return spec.fencing == fencing_mode::kChecked ||
         lease->PreviousOrdersExpired(now);
}

void order_manager::StartRound(const controlled_pool& target) {
  auto current = std::make_shared<round>();
  current->target = target;
  current->progress = pools_.at(target.spec.name);
  current->progress->next_round = environment_.clock() + settings_.read_period;
  std::vector<endpoint> addresses;
  for (const upstream& entry : target.spec.upstreams) {
    if (environment_.reclaim_pending(target.spec.name, entry.name)) {
      continue;
    }
    current->observed.push_back({entry.name, {}, false});
    addresses.push_back(entry.address);
  }
  current->pending_reads = addresses.size();
  current->progress->reading = !addresses.empty();
  const std::weak_ptr<bool> alive = alive_;
  for (size_t index = 0; index < addresses.size(); ++index) {
    environment_.client.ReadReport(
        addresses[index], [this, current, index,
                           alive](const std::optional<order_report>& report) {
          if (alive.expired()) {
            return;
          }
          current->observed[index].report = report;
          OnRead(current);
        });
  }
}

void order_manager::OnRead(const round_ptr& current) {
  if (--current->pending_reads > 0) {
    return;
  }
  current->progress->reading = false;
  const pool_lease* lease = environment_.lease(current->target.spec.name);
  if (lease == nullptr || !lease->MayAct(environment_.clock())) {
    return;
  }
  UpdateIdle(current);
  order_plan_input input;
  input.fencing = current->target.spec.fencing;
  input.target_state = TargetStateOf(current->target.spec);
  input.fence = lease->fence();
  input.issuer = issuer_;
  input.revision = current->target.revision;
  input.max_out_of_service_share = settings_.max_out_of_service_share;
  current->progress->status.plan = PlanOrders(input, current->observed);
  SendOrders(current);
}

void order_manager::UpdateIdle(const round_ptr& current) {
  const time_point now = environment_.clock();
  auto& since = current->progress->draining_since;
  for (observed_upstream& entry : current->observed) {
    if (!entry.report || !entry.report->actual.draining) {
      since.erase(entry.name);
      continue;
    }
    const time_point began = since.try_emplace(entry.name, now).first->second;
    const int64_t running =
        environment_.running(current->target.spec.name, entry.name);
    entry.idle = running == 0 || now >= began + settings_.drain_timeout;
  }
}

void order_manager::SendOrders(const round_ptr& current) {
  for (const planned_order& planned : current->progress->status.plan.orders) {
    if (!planned.loads) {
      Send(current, planned);
      continue;
    }
    const time_point now = environment_.clock();
    if (!current->progress->pacer.MayStart(now)) {
      continue;
    }
    current->progress->pacer.OnStarted(now);
    FetchThenSend(current, planned);
  }
}

void order_manager::FetchThenSend(const round_ptr& current,
                                  const planned_order& planned) {
  const std::weak_ptr<bool> alive = alive_;
  environment_.weights.Fetch(
      planned.order.desired.model, planned.order.desired.version,
      [this, current, planned, alive](const weight_result& result) {
        if (alive.expired()) {
          return;
        }
        if (result.outcome == weight_outcome::kFetched) {
          current->progress->pacer.OnFetched();
          Send(current, planned);
          return;
        }
        if (result.outcome == weight_outcome::kThrottled) {
          ++current->progress->status.throttled;
          current->progress->pacer.OnThrottled(result.retry_after,
                                               environment_.clock());
        }
        // A failed fetch is not retried here: the next round reads the upstream
        // and plans again.
      });
}

void order_manager::Send(const round_ptr& current,
                         const planned_order& planned) {
  const time_point now = environment_.clock();
  const pool_lease* lease = environment_.lease(current->target.spec.name);
  const bool same_lease =
      lease != nullptr && lease->fence() == planned.order.fence;
  if (!same_lease || !lease->MayAct(now)) {
    return;
  }
  for (const upstream& entry : current->target.spec.upstreams) {
    if (entry.name != planned.upstream_name) {
      continue;
    }
    ++current->progress->status.sent;
    const std::weak_ptr<bool> alive = alive_;
    environment_.client.SendOrder(
        entry.address, planned.order,
        [this, current, planned, now, alive](order_outcome outcome) {
          if (!alive.expired()) {
            RecordOutcome(current,
                          {planned.upstream_name, planned.order, outcome, now});
          }
        });
  }
}

void order_manager::RecordOutcome(const round_ptr& current, sent_order sent) {
  const pool_lease* lease = environment_.lease(current->target.spec.name);
  const bool in_time = lease != nullptr &&
                       lease->MayTakeEffect(sent.sent_at, environment_.clock());
  // If this process was paused before it handled the response, another holder
  // may have changed the upstream meanwhile.
  if (sent.outcome == order_outcome::kApplied && !in_time) {
    sent.outcome = order_outcome::kUnknown;
  }
  order_status& status = current->progress->status;
  status.refused += sent.outcome == order_outcome::kStaleFence ? 1 : 0;
  status.unknown += sent.outcome == order_outcome::kUnknown ? 1 : 0;
  status.last_orders.push_back(std::move(sent));
  if (status.last_orders.size() > kMaxLastOrders) {
    status.last_orders.pop_front();
  }
}

const order_status* order_manager::Find(const std::string& pool_name) const {
  const auto found = pools_.find(pool_name);
  return found == pools_.end() ? nullptr : &found->second->status;
}

}  // namespace skylarkcroft

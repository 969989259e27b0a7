#include "skylarkcroft/control/skylarkcroft_order_keeper.h"

#include <optional>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr size_t kLastOrders = 8;

engine_state WantedOf(const pool& spec) {
  engine_state wanted;
  wanted.model = spec.deployment.model;
  wanted.version = spec.deployment.version;
  wanted.adapters = spec.deployment.adapters;
  return wanted;
}

}  // namespace

struct order_keeper::controlled {
  explicit controlled(const load_pace& pace) : pacer(pace) {}

  order_status status;
  load_pacer pacer;
  std::map<std::string, time_point> draining_since;
  time_point next_round{};
  bool reading = false;
};

struct order_keeper::round {
  controlled_pool target;
  std::shared_ptr<controlled> one;
  std::vector<observed_upstream> observed;
  size_t unread = 0;
};

order_keeper::order_keeper(order_environment environment, std::string issuer,
                           const order_settings& settings)
    : environment_(std::move(environment)),
      issuer_(std::move(issuer)),
      settings_(settings),
      timer_(environment_.loop.Every(kTickPeriod, [this] { Tick(); })) {}

order_keeper::~order_keeper() = default;

void order_keeper::Tick() {
  for (const controlled_pool& target : environment_.pools()) {
    auto& one = pools_[target.spec.name];
    if (!one) {
      one = std::make_shared<controlled>(settings_.pace);
    }
    if (RoundDue(*one, target.spec, environment_.clock())) {
      StartRound(target);
    }
  }
}

bool order_keeper::RoundDue(const controlled& one, const pool& spec,
                            time_point now) const {
  const pool_lease* lease = environment_.lease(spec.name);
  if (one.reading || now < one.next_round || lease == nullptr ||
      !lease->MayAct(now)) {
    return false;
  }
  // What the holder before sent may still arrive where no fence refuses it.
  return spec.fencing == fencing_mode::kChecked || lease->FlightsEnded(now);
}

void order_keeper::StartRound(const controlled_pool& target) {
  auto current = std::make_shared<round>();
  current->target = target;
  current->one = pools_.at(target.spec.name);
  current->one->next_round = environment_.clock() + settings_.read_period;
  std::vector<endpoint> addresses;
  for (const upstream& one : target.spec.upstreams) {
    if (environment_.leaving(target.spec.name, one.name)) {
      continue;
    }
    current->observed.push_back({one.name, {}, false});
    addresses.push_back(one.address);
  }
  current->unread = addresses.size();
  current->one->reading = !addresses.empty();
  const std::weak_ptr<bool> alive = alive_;
  for (size_t index = 0; index < addresses.size(); ++index) {
    environment_.caller.Read(
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

void order_keeper::OnRead(const round_ptr& current) {
  if (--current->unread > 0) {
    return;
  }
  current->one->reading = false;
  const pool_lease* lease = environment_.lease(current->target.spec.name);
  if (lease == nullptr || !lease->MayAct(environment_.clock())) {
    return;
  }
  NoteDrains(current);
  order_terms terms;
  terms.fencing = current->target.spec.fencing;
  terms.wanted = WantedOf(current->target.spec);
  terms.fence = lease->fence();
  terms.issuer = issuer_;
  terms.revision = current->target.revision;
  terms.max_out_share = settings_.max_out_share;
  current->one->status.plan = PlanOrders(terms, current->observed);
  SendOrders(current);
}

void order_keeper::NoteDrains(const round_ptr& current) {
  const time_point now = environment_.clock();
  auto& since = current->one->draining_since;
  for (observed_upstream& one : current->observed) {
    if (!one.report || !one.report->actual.draining) {
      since.erase(one.name);
      continue;
    }
    const time_point began = since.try_emplace(one.name, now).first->second;
    const int64_t running =
        environment_.running(current->target.spec.name, one.name);
    one.idle = running == 0 || now >= began + settings_.drain_limit;
  }
}

void order_keeper::SendOrders(const round_ptr& current) {
  for (const planned_order& planned : current->one->status.plan.orders) {
    if (!planned.loads) {
      Send(current, planned);
      continue;
    }
    const time_point now = environment_.clock();
    if (!current->one->pacer.MayStart(now)) {
      continue;
    }
    current->one->pacer.NoteStarted(now);
    FetchThenSend(current, planned);
  }
}

void order_keeper::FetchThenSend(const round_ptr& current,
                                 const planned_order& planned) {
  const std::weak_ptr<bool> alive = alive_;
  environment_.weights.Fetch(
      planned.order.desired.model, planned.order.desired.version,
      [this, current, planned, alive](const weight_result& result) {
        if (alive.expired()) {
          return;
        }
        if (result.outcome == weight_outcome::kFetched) {
          current->one->pacer.NoteFetched();
          Send(current, planned);
          return;
        }
        if (result.outcome == weight_outcome::kThrottled) {
          ++current->one->status.throttled;
          current->one->pacer.NoteThrottled(result.retry_after,
                                            environment_.clock());
        }
        // The next round finds the upstream as it is.
      });
}

void order_keeper::Send(const round_ptr& current,
                        const planned_order& planned) {
  const time_point now = environment_.clock();
  const pool_lease* lease = environment_.lease(current->target.spec.name);
  const bool same_lease =
      lease != nullptr && lease->fence() == planned.order.fence;
  if (!same_lease || !lease->MayAct(now)) {
    return;
  }
  for (const upstream& one : current->target.spec.upstreams) {
    if (one.name != planned.upstream_name) {
      continue;
    }
    ++current->one->status.sent;
    const std::weak_ptr<bool> alive = alive_;
    environment_.caller.Order(
        one.address, planned.order,
        [this, current, planned, now, alive](order_outcome outcome) {
          if (!alive.expired()) {
            NoteOrder(current,
                      {planned.upstream_name, planned.order, outcome, now});
          }
        });
  }
}

void order_keeper::NoteOrder(const round_ptr& current, sent_order sent) {
  const pool_lease* lease = environment_.lease(current->target.spec.name);
  const bool in_time =
      lease != nullptr && lease->MayGoOn(sent.sent_at, environment_.clock());
  // An answer heard after a stop of this process may be anyone's by now.
  if (sent.outcome == order_outcome::kApplied && !in_time) {
    sent.outcome = order_outcome::kUnknown;
  }
  order_status& status = current->one->status;
  status.refused += sent.outcome == order_outcome::kStaleFence ? 1 : 0;
  status.unknown += sent.outcome == order_outcome::kUnknown ? 1 : 0;
  status.last_orders.push_back(std::move(sent));
  if (status.last_orders.size() > kLastOrders) {
    status.last_orders.pop_front();
  }
}

const order_status* order_keeper::Find(const std::string& pool_name) const {
  const auto found = pools_.find(pool_name);
  return found == pools_.end() ? nullptr : &found->second->status;
}

}  // namespace skylarkcroft

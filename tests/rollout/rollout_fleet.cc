#include "tests/rollout/rollout_fleet.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr milliseconds kTick{10};
constexpr milliseconds kWarmUp{4000};
constexpr milliseconds kAfterPeriod{4000};
constexpr milliseconds kHolderInterval{100};
constexpr milliseconds kPlanInterval{500};
constexpr milliseconds kUpstreamsInterval{500};
constexpr milliseconds kStoreLatency{40};
constexpr milliseconds kPlanLifetime{3000};
// With fewer running requests at an upstream, their number varies too much to
// slow an answer down in proportion.
constexpr double kMinMeanLoad = 2;
constexpr int kBadAnswersOfTheBound = 50;

class fleet {
 public:
  explicit fleet(const fleet_setup& setup)
      : setup_(setup), random_(setup.seed) {
    for (size_t i = 0; i < setup_.old_upstreams; ++i) {
      AddUpstream("old-" + std::to_string(i), "v1");
    }
    for (size_t i = 0; i < setup_.nodes; ++i) {
      nodes_.push_back(std::make_unique<node>());
      nodes_.back()->name = "n" + std::to_string(i);
      nodes_.back()->report_offset =
          milliseconds(static_cast<milliseconds::rep>(i * 7919)) %
          setup_.report_period;
    }
    double weight = 0;
    double duration_ms = 0;
    for (const fleet_route& route : setup_.routes) {
      weights_.push_back(route.weight);
      weight += route.weight;
      duration_ms += route.weight * static_cast<double>(route.duration.count());
    }
    mean_load_ = std::max(
        kMinMeanLoad, setup_.requests_per_second * duration_ms / weight / 1000 /
                          static_cast<double>(setup_.old_upstreams));
  }

  fleet_result Run() {
    for (; now_ < Time(milliseconds(0)); now_ += kTick) {
      UpdateUpstreams();
      Serve();
    }
    for (size_t i = 0; i < setup_.new_upstreams; ++i) {
      AddUpstream("new-" + std::to_string(i), "v2");
    }
    order_ = {"chat", "v2", setup_.period, {1, 100}};
    for (const auto& node : nodes_) {
      node->router.OnOrder(order_);
      node->recorder.Start(order_);
    }
    TakeOver();
    for (; now_ < Time(setup_.period + kAfterPeriod); now_ += kTick) {
      if (setup_.old_upstreams_lost_at.has_value() &&
          SinceOrder() >= *setup_.old_upstreams_lost_at) {
        upstreams_.erase(upstreams_.begin(),
                         upstreams_.begin() +
                             static_cast<std::ptrdiff_t>(setup_.old_upstreams));
        setup_.old_upstreams_lost_at.reset();
        refresh_ = true;
      }
      Deliver();
      UpdateUpstreams();
      Serve();
      SendReports();
      RunHolder();
    }
    return result_;
  }

 private:
  struct node {
    std::string name;
    rollout_router router{kPlanLifetime};
    rollout_recorder recorder;
    milliseconds report_offset{0};
    int64_t sequence = 0;
  };
  struct upstream {
    upstream_entry entry;
    std::shared_ptr<int> running = std::make_shared<int>(0);
  };
  struct running_request {
    time_point ends_at;
    size_t node = 0;
    uint64_t id = 0;
    rollout_request_end end = rollout_request_end::kOk;
    bool bad = false;
    std::shared_ptr<int> load;

    bool operator>(const running_request& other) const {
      return ends_at > other.ends_at;
    }
  };
  struct holder {
    rollout_controller controller;
    rollout_tally tally;
    time_point sent_at{};
  };

  [[nodiscard]] static time_point Time(milliseconds since_order) {
    return time_point(kWarmUp + since_order);
  }
  [[nodiscard]] milliseconds SinceOrder() const {
    return std::chrono::duration_cast<milliseconds>(now_ -
                                                    Time(milliseconds(0)));
  }
  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void AddUpstream(const std::string& id, const std::string& version) {
    upstream added;
    added.entry.id = id;
    added.entry.service = "chat";
    added.entry.version = version;
    upstreams_.push_back(added);
    refresh_ = true;
  }

  void UpdateUpstreams() {
    if (!refresh_ &&
        now_.time_since_epoch() % kUpstreamsInterval != milliseconds(0)) {
      return;
    }
    refresh_ = false;
    std::vector<upstream_entry> entries;
    for (const upstream& each : upstreams_) {
      entries.push_back(each.entry);
    }
    for (const auto& node : nodes_) {
      node->router.UpdateUpstreams("chat", entries);
    }
  }

  /// The less loaded of two upstreams that pass the first filter that leaves
  /// any.
  upstream* Choose(const std::vector<upstream_filter_fn>& filters) {
    std::vector<upstream*> allowed;
    for (size_t i = 0; i < std::max<size_t>(1, filters.size()); ++i) {
      for (upstream& each : upstreams_) {
        if (filters.empty() || filters[i](each.entry)) {
          allowed.push_back(&each);
        }
      }
      if (!allowed.empty()) {
        break;
      }
    }
    if (allowed.empty()) {
      return nullptr;
    }
    std::uniform_int_distribution<size_t> pick(0, allowed.size() - 1);
    upstream* first = allowed[pick(random_)];
    upstream* second = allowed[pick(random_)];
    return *first->running <= *second->running ? first : second;
  }

  void Serve() {
    while (!running_.empty() && running_.top().ends_at <= now_) {
      End(running_.top());
      running_.pop();
    }
    const double mean = setup_.requests_per_second *
                        setup_.demand(SinceOrder()) *
                        static_cast<double>(kTick.count()) / 1000;
    const int arrivals = std::poisson_distribution<int>(mean)(random_);
    for (int i = 0; i < arrivals; ++i) {
      Send();
    }
  }

  void Send() {
    const size_t index =
        std::uniform_int_distribution<size_t>(0, nodes_.size() - 1)(random_);
    const fleet_route& route = setup_.routes[std::discrete_distribution<size_t>(
        weights_.begin(), weights_.end())(random_)];
    node& node = *nodes_[index];
    upstream* chosen =
        Choose(node.router.Filters({"chat", route.name, false, Draw()}, now_));
    const bool within_period =
        now_ >= Time(milliseconds(0)) && now_ < Time(setup_.period);
    result_.requests += within_period ? 1 : 0;
    if (chosen == nullptr) {
      ++result_.unplaced;
      return;
    }
    const bool to_new = chosen->entry.version == "v2";
    // Every running request slows an engine's batch down.
    const double load = static_cast<double>(*chosen->running);
    double duration = static_cast<double>(route.duration.count()) *
                      (0.5 + 0.5 * std::min(4.0, load / mean_load_)) *
                      std::lognormal_distribution<double>(0, 0.25)(random_);
    running_request request;
    request.node = index;
    request.load = chosen->running;
    if (Draw() < kFailuresOfTheOldVersion) {
      request.end = rollout_request_end::kFailed;
    }
    if (to_new) {
      result_.sent_to_new += within_period ? 1 : 0;
      if (fiftieth_bad_at_.has_value()) {
        result_.last_send_after_50th_bad =
            std::chrono::duration_cast<milliseconds>(now_ - *fiftieth_bad_at_);
      }
      const version_behaviour behaviour =
          setup_.behaviour(route.name, SinceOrder(), load / mean_load_);
      if (Draw() < behaviour.failure_share) {
        request.end = rollout_request_end::kFailed;
        request.bad = true;
      } else if (Draw() < behaviour.slow_share) {
        duration *= behaviour.slow_factor;
        request.bad = true;
      }
    }
    request.ends_at =
        now_ + milliseconds(static_cast<milliseconds::rep>(duration));
    request.id = node.recorder.OnSent(route.name, chosen->entry.version, now_);
    ++*chosen->running;
    running_.push(request);
  }

  void End(const running_request& request) {
    node& node = *nodes_[request.node];
    node.recorder.OnEnded(request.id, request.end, now_);
    --*request.load;
    result_.bad_answers += request.bad ? 1 : 0;
    if (result_.bad_answers == kBadAnswersOfTheBound &&
        !fiftieth_bad_at_.has_value()) {
      fiftieth_bad_at_ = now_;
    }
  }

  void Post(std::function<void()> action) {
    if (Draw() >= setup_.loss) {
      messages_.emplace(now_ + setup_.delay, std::move(action));
    }
  }

  void Deliver() {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const std::function<void()> action = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      action();
    }
  }

  void SendReports() {
    for (const auto& node : nodes_) {
      const rollout_plan* plan = node->router.Plan("chat");
      const milliseconds period =
          plan == nullptr ? setup_.report_period
                          : RolloutReportPeriod(setup_.report_period, *plan);
      const bool due =
          (now_.time_since_epoch() + node->report_offset) % period < kTick;
      if (!due || plan == nullptr) {
        continue;
      }
      const rollout_report report{order_,
                                  node->name,
                                  1,
                                  ++node->sequence,
                                  plan->fencing_token,
                                  plan->sequence,
                                  plan->stage,
                                  node->recorder.RunningAtOld(),
                                  node->recorder.Totals(now_)};
      for (const std::string& bytes : EncodeRolloutReport(report)) {
        Post([this, bytes] {
          if (holder_ != nullptr) {
            holder_->tally.OnReport(DecodeRolloutReport(bytes).value(), now_);
          }
        });
      }
    }
  }

  void TakeOver() {
    rollout_plan plan = stored_.value_or(rollout_plan{order_});
    plan.fencing_token = ++fence_;
    plan.sequence = 0;
    rollout_parameters parameters;
    parameters.exposure_share = setup_.exposure_share;
    parameters.exposure_slack = setup_.exposure_slack;
    holder_ = std::make_unique<holder>(
        holder{rollout_controller(parameters, plan, stored_.has_value()),
               rollout_tally(order_)});
  }

  void RunHolder() {
    if (holder_ == nullptr) {
      if (now_ >= takeover_at_) {
        TakeOver();
      }
      return;
    }
    if (now_.time_since_epoch() % kHolderInterval != milliseconds(0)) {
      return;
    }
    rollout_controller& controller = holder_->controller;
    if (setup_.holder_fails_in == controller.plan().stage) {
      setup_.holder_fails_in.reset();
      holder_.reset();
      takeover_at_ = now_ + setup_.takeover_time;
      return;
    }
    std::vector<std::string> names;
    for (const auto& node : nodes_) {
      names.push_back(node->name);
    }
    const version_counts counts = nodes_.front()->router.Counts("chat");
    controller.Step(
        {holder_->tally.totals(), counts.old_upstreams, counts.new_upstreams,
         SinceOrder(), setup_.report_period / 2 + setup_.delay,
         holder_->tally.IsDrained(controller.plan(), names),
         holder_->tally.IsRolledBackAtANode()},
        now_);
    WritePlan();
    Broadcast();
  }

  void WritePlan() {
    const std::optional<rollout_plan>& plan = holder_->controller.to_write();
    if (!plan.has_value() || !setup_.store_available(SinceOrder())) {
      return;
    }
    // Not subject to loss: the store answers or the write is repeated.
    messages_.emplace(now_ + kStoreLatency, [this, plan = *plan] {
      stored_ = plan;
      if (IsFinal(plan.stage) && !IsFinal(result_.stage)) {
        result_.stage = plan.stage;
        result_.reason = plan.reason;
        result_.decided_at = SinceOrder();
        if (plan.stage == rollout_stage::kCompleted) {
          for (const auto& node : nodes_) {
            result_.running_at_old_when_completed +=
                node->recorder.RunningAtOld();
          }
        }
      }
      if (holder_ != nullptr) {
        holder_->controller.OnWritten(plan);
      }
    });
  }

  void Broadcast() {
    const rollout_plan& plan = holder_->controller.plan();
    const bool to_all = now_ - holder_->sent_at >= kPlanInterval;
    if (to_all) {
      holder_->sent_at = now_;
    }
    const std::string bytes = EncodePlan(plan);
    for (const auto& node : nodes_) {
      if (!to_all && holder_->tally.Follows(node->name, plan)) {
        continue;
      }
      Post([this, &node, bytes] {
        node->router.OnPlan(DecodePlan(bytes).value(), now_);
      });
    }
  }

  static constexpr double kFailuresOfTheOldVersion = 0.004;

  fleet_setup setup_;
  std::mt19937 random_;
  time_point now_{};
  std::vector<upstream> upstreams_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::vector<double> weights_;
  std::priority_queue<running_request, std::vector<running_request>,
                      std::greater<>>
      running_;
  std::multimap<time_point, std::function<void()>> messages_;
  bool refresh_ = false;
  double mean_load_ = 1;
  rollout_order order_;
  std::optional<rollout_plan> stored_;
  std::unique_ptr<holder> holder_;
  int64_t fence_ = 0;
  time_point takeover_at_{};
  std::optional<time_point> fiftieth_bad_at_;
  fleet_result result_;
};

}  // namespace

fleet_result RunFleet(const fleet_setup& setup) { return fleet(setup).Run(); }

}  // namespace skylarkcroft

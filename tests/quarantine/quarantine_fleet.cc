#include "tests/quarantine/quarantine_fleet.h"

#include <algorithm>
#include <utility>

#include "skylarkcroft/peers/skylarkcroft_peer_report.h"

namespace skylarkcroft {
namespace {

constexpr part_key kCrashingPart = 7;
constexpr part_key kCommonPart = 8;
constexpr part_key kFirstSubject = 1000;
constexpr size_t kSubjects = 1300;
constexpr part_key kFirstRequest = 1000000;
// An upstream that crashed is back after this time.
constexpr milliseconds kDownTime{3300};
constexpr milliseconds kTick{100};
constexpr milliseconds kCrashDelay{10};
// Pause between two tokens of a response.
constexpr milliseconds kOutputPause{40};
constexpr milliseconds kClientPause{100};
constexpr milliseconds kBound{3000};
constexpr milliseconds kTwiceBound{6000};

}  // namespace

quarantine_fleet::quarantine_fleet(const fleet_scenario& scenario)
    : scenario_(scenario), random_(scenario.seed) {
  for (size_t i = 0; i < scenario.upstreams; ++i) {
    upstreams_.push_back({++upstream_number_, start_, {}});
  }
  nodes_.resize(scenario.nodes);
  for (size_t i = 0; i < scenario.nodes; ++i) {
    StartNode(i);
    const milliseconds phase(static_cast<int>(Uniform() * 100));
    At(now_ + phase, [this, i] { Tick(i); });
    At(now_ + phase, [this, i] { Report(i); });
  }
  ScheduleArrival();
  ScheduleOtherCrash();
  if (scenario.rack_loss_at.has_value()) {
    At(start_ + *scenario.rack_loss_at, [this] {
      for (size_t i = 0; i < scenario_.rack_size; ++i) {
        Crash(i);
      }
    });
  }
  if (scenario.restart_at.has_value()) {
    At(start_ + *scenario.restart_at, [this] {
      for (size_t i = 0; i < nodes_.size(); ++i) {
        StartNode(i);
      }
    });
  }
}

void quarantine_fleet::StartNode(size_t node) {
  nodes_[node] = std::make_unique<part_quarantine>(
      part_quarantine_parameters{}, [this](const quarantine_event& event) {
        const bool is_false = event.what == "quarantined" &&
                              !ContainsAll(event.entry.parts, {kCrashingPart});
        outcome_.false_quarantines += is_false ? 1 : 0;
      });
}

fleet_outcome quarantine_fleet::Run() {
  while (!events_.empty() && events_.top().at <= start_ + scenario_.length) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.run();
  }
  return outcome_;
}

bool quarantine_fleet::IsQuarantinedEverywhere() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
    const std::vector<quarantined_parts> entries = node->Report(now_);
    return std::any_of(entries.begin(), entries.end(),
                       [](const quarantined_parts& entry) {
                         return ContainsAll(entry.parts, {kCrashingPart});
                       });
  });
}

size_t quarantine_fleet::QuarantineCount() const {
  size_t count = 0;
  for (const auto& node : nodes_) {
    count += node->Report(now_).size();
  }
  return count;
}

void quarantine_fleet::At(time_point at, std::function<void()> run) {
  events_.push({at, ++event_number_, std::move(run)});
}

double quarantine_fleet::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

milliseconds quarantine_fleet::Exponential(double per_second) {
  constexpr double kMillisPerSecond = 1000;
  return milliseconds(static_cast<int>(
      kMillisPerSecond *
      std::exponential_distribution<double>(per_second)(random_)));
}

void quarantine_fleet::ScheduleArrival() {
  const duration pause = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(std::exponential_distribution<double>(
          scenario_.requests_per_second)(random_)));
  At(now_ + pause, [this] {
    const bool crashes = now_ - start_ >= scenario_.crashing_from &&
                         Uniform() < scenario_.crashing_share;
    const auto arrived = std::make_shared<request>();
    arrived->prompt = MakePrompt(crashes);
    arrived->crashes = crashes;
    Arrive(arrived);
    ScheduleArrival();
  });
}

void quarantine_fleet::ScheduleOtherCrash() {
  if (scenario_.other_crashes_per_second <= 0) {
    return;
  }
  At(now_ + Exponential(scenario_.other_crashes_per_second), [this] {
    Crash(random_() % upstreams_.size());
    ScheduleOtherCrash();
  });
}

prompt_key quarantine_fleet::MakePrompt(bool crashes) {
  // A few subjects are far more common than the others.
  const double draw = Uniform();
  const part_key subject =
      kFirstSubject + static_cast<part_key>(draw * draw * kSubjects);
  prompt_key prompt{kFirstRequest + ++request_number_, {kCommonPart, subject}};
  if (crashes) {
    prompt.shared.insert(
        prompt.shared.begin() +
            static_cast<std::ptrdiff_t>(scenario_.crashing_position),
        kCrashingPart);
  }
  return prompt;
}

void quarantine_fleet::Arrive(const request_ptr& arrived) {
  arrived->node = random_() % nodes_.size();
  outcome_.sound_requests += arrived->crashes ? 0 : 1;
  outcome_.sound_late += !arrived->crashes && IsAfter(kTwiceBound) ? 1 : 0;
  const quarantine_verdict verdict =
      nodes_[arrived->node]->Decide(arrived->prompt, now_);
  if (verdict.decision == quarantine_decision::kAllowed) {
    Send(arrived);
    return;
  }
  if (!arrived->crashes) {
    ++outcome_.sound_rejected;
    outcome_.sound_rejected_late += IsAfter(kTwiceBound) ? 1 : 0;
  }
}

void quarantine_fleet::Send(const request_ptr& sent) {
  std::vector<size_t> up;
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    if (upstreams_[i].down_until <= now_) {
      up.push_back(i);
    }
  }
  if (up.empty()) {
    return;
  }
  outcome_.sent_after_bound += sent->crashes && IsAfter(kBound) ? 1 : 0;
  sent->upstream = up[random_() % up.size()];
  sent->begun = false;
  sent->ended = false;
  upstreams_[sent->upstream].running.push_back(sent);
  constexpr int kShortestPrefillMs = 30;
  constexpr double kPrefillPerSecond = 5;
  const milliseconds prefill =
      milliseconds(kShortestPrefillMs) + Exponential(kPrefillPerSecond);
  const uint32_t upstream_key = upstreams_[sent->upstream].key;
  At(now_ + prefill, [this, sent, upstream_key] {
    if (!sent->ended && upstreams_[sent->upstream].key == upstream_key) {
      Begin(sent);
    }
  });
}

void quarantine_fleet::Begin(const request_ptr& begun) {
  begun->begun = true;
  begun->begun_at = now_;
  const size_t number = begun->upstream;
  const uint32_t key = upstreams_[number].key;
  const auto if_running = [this, begun, number, key](auto then) {
    return [this, begun, number, key, then] {
      if (!begun->ended && upstreams_[number].key == key) {
        then();
      }
    };
  };
  if (begun->crashes) {
    At(now_ + kCrashDelay, if_running([this, number] {
         ++outcome_.crashes_by_part;
         constexpr int kCountedCrashes = 5;
         if (outcome_.crashes_by_part == kCountedCrashes) {
           fifth_crash_at_ = now_;
         }
         Crash(number);
       }));
    return;
  }
  if (Uniform() < scenario_.broken_share) {
    At(now_ + kCrashDelay, if_running([this, begun] { Break(begun); }));
    return;
  }
  constexpr double kAnswersPerSecond = 0.8;
  At(now_ + Exponential(kAnswersPerSecond),
     if_running([this, begun] { Succeed(begun); }));
}

void quarantine_fleet::Succeed(const request_ptr& done) {
  done->ended = true;
  std::erase(upstreams_[done->upstream].running, done);
  nodes_[done->node]->RecordSuccess(done->prompt, now_);
  Flush(done->node);
}

void quarantine_fleet::WriteOutput(size_t number) {
  for (const request_ptr& running : upstreams_[number].running) {
    if (running->begun) {
      nodes_[running->node]->RecordByte(upstreams_[number].key, now_);
      Flush(running->node);
    }
  }
}

void quarantine_fleet::Crash(size_t number) {
  if (upstreams_[number].down_until > now_) {
    return;
  }
  const std::vector<request_ptr> broken =
      std::exchange(upstreams_[number].running, {});
  upstreams_[number].down_until = now_ + kDownTime;
  const uint32_t key = upstreams_[number].key;
  for (const request_ptr& victim : broken) {
    victim->ended = true;
    // Nodes notice the crash at slightly different times.
    At(now_ + milliseconds(random_() % 4), [this, victim, key] {
      const bool late =
          victim->begun && now_ - victim->begun_at > kFirstOutputWindow;
      if (!late) {
        nodes_[victim->node]->RecordCrash(
            {key, victim->prompt.request, victim->begun, victim->prompt.shared},
            now_);
        Flush(victim->node);
      }
      Break(victim);
    });
  }
  upstreams_[number].key = ++upstream_number_;
}

void quarantine_fleet::Break(const request_ptr& broken) {
  if (!broken->ended) {
    // One answer broke off; the upstream is well.
    broken->ended = true;
    std::erase(upstreams_[broken->upstream].running, broken);
    nodes_[broken->node]->RecordCrash(
        {upstreams_[broken->upstream].key, broken->prompt.request, true,
         broken->prompt.shared},
        now_);
    Flush(broken->node);
    const size_t number = broken->upstream;
    At(now_ + kOutputPause, [this, number] { WriteOutput(number); });
    At(now_ + 2 * kOutputPause, [this, number] { WriteOutput(number); });
  }
  const bool allowed =
      nodes_[broken->node]->Decide(broken->prompt, now_).decision ==
      quarantine_decision::kAllowed;
  if (allowed && broken->tries_left > 0) {
    --broken->tries_left;
    Send(broken);
    return;
  }
  if (broken->client_tries_left > 0) {
    --broken->client_tries_left;
    broken->tries_left = 1;
    At(now_ + kClientPause, [this, broken] { Arrive(broken); });
  }
}

void quarantine_fleet::Tick(size_t node) {
  nodes_[node]->Tick(now_);
  Flush(node);
  At(now_ + kTick, [this, node] { Tick(node); });
}

void quarantine_fleet::Report(size_t node) {
  const std::vector<quarantined_parts> entries = nodes_[node]->Report(now_);
  if (!entries.empty()) {
    Broadcast(node, {{}, {}, {}, entries});
  }
  At(now_ + ReportPeriod(nodes_.size()), [this, node] { Report(node); });
}

void quarantine_fleet::Flush(size_t node) {
  const quarantine_notice notice = nodes_[node]->TakeNotice();
  if (notice.empty()) {
    return;
  }
  outcome_.notices += nodes_.size() - 1;
  Broadcast(node, notice);
}

void quarantine_fleet::Broadcast(size_t from, const quarantine_notice& notice) {
  constexpr int kLongestDelayMs = 12;
  const auto told = std::make_shared<const quarantine_notice>(notice);
  for (size_t to = 0; to < nodes_.size(); ++to) {
    if (to == from || !AreConnected(from, to) || Uniform() < scenario_.loss) {
      continue;
    }
    At(now_ + milliseconds(1 + random_() % kLongestDelayMs), [this, to, told] {
      nodes_[to]->OnNotice(*told, now_);
      Flush(to);
    });
  }
}

bool quarantine_fleet::AreConnected(size_t one, size_t other) const {
  return one >= scenario_.cut_nodes && other >= scenario_.cut_nodes;
}

bool quarantine_fleet::IsAfter(milliseconds since_fifth_crash) const {
  return fifth_crash_at_.has_value() &&
         now_ - *fifth_crash_at_ > since_fifth_crash;
}

}  // namespace skylarkcroft

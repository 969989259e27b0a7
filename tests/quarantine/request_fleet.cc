#include "tests/quarantine/request_fleet.h"

#include <algorithm>

#include "skylarkcroft/peers/skylarkcroft_peer_report.h"

namespace skylarkcroft {
namespace {

constexpr request_key kFirstDeadly = 1;
constexpr request_key kFirstAlike = 1000;
constexpr request_key kFirstUnique = 1000000;
// An upstream that crashed is back after this time.
constexpr milliseconds kDownTime{3300};
constexpr milliseconds kTick{100};
// What happens at a node within this time is told in one datagram.
constexpr milliseconds kLoopTurn{5};
// Quarantines are in each such report.
constexpr int kReportsPerQuarantineReport = 5;
constexpr milliseconds kShortestPrefill{30};
constexpr milliseconds kMeanPrefill{200};
// Pause between two tokens of a response.
constexpr milliseconds kOutputPause{40};
constexpr milliseconds kClientPause{100};
// The operators' contact_window_ms.
constexpr milliseconds kContactWindow{3000};
constexpr int kCountedCrashes = 3;
constexpr int kCrashesToFindPart = 5;

milliseconds ToMilliseconds(double count) {
  return milliseconds(static_cast<milliseconds::rep>(count));
}

}  // namespace

request_fleet::request_fleet(const request_fleet_scenario& scenario)
    : scenario_(scenario),
      random_(scenario.seed),
      flushing_(scenario.nodes),
      deadly_(scenario.deadly_requests) {
  for (size_t i = 0; i < scenario.upstreams; ++i) {
    upstreams_.push_back({++upstream_number_, start_, {}});
  }
  nodes_.resize(scenario.nodes);
  for (size_t i = 0; i < scenario.nodes; ++i) {
    StartNode(i);
    At(now_ + Uniform(kTick), [this, i] { Tick(i); });
    At(now_ + Uniform(QuarantineReportPeriod()), [this, i] { Report(i); });
  }
  ScheduleArrival();
  ScheduleOtherCrash();
  ScheduleHerd();
  if (scenario.restart_at.has_value()) {
    At(start_ + *scenario.restart_at, [this] { Restart(); });
  }
  for (const auto& [at, span] : scenario.pauses) {
    At(start_ + at, [this, span = span] { skipped_ += span; });
  }
}

void request_fleet::StartNode(size_t node) {
  constexpr milliseconds kLongestEndDelay{10000};
  request_quarantine_parameters parameters = scenario_.parameters;
  parameters.end_delay = Uniform(kLongestEndDelay);
  nodes_[node] = std::make_unique<request_quarantine>(
      parameters, [](const request_quarantine_event& /*event*/) {});
}

void request_fleet::Restart() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    StartNode(i);
    if (scenario_.archived) {
      nodes_[i]->OnNotice({{}, {}, {}, {}, archive_}, Clock());
    }
  }
}

request_fleet_outcome request_fleet::Run() {
  while (!events_.empty() && events_.top().at <= start_ + scenario_.length) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.run();
  }
  for (const deadly_history& history : deadly_) {
    outcome_.crashes = std::max(outcome_.crashes, history.crashes);
    outcome_.sent_late = std::max(outcome_.sent_late, history.sent_late);
    outcome_.all_crashes += history.crashes;
  }
  return outcome_;
}

size_t request_fleet::RejectingNodes() const {
  return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
        for (size_t i = 0; i < deadly_.size(); ++i) {
          if (node->Decide(kFirstDeadly + i, Clock()).decision ==
              quarantine_decision::kAllowed) {
            return false;
          }
        }
        return true;
      }));
}

size_t request_fleet::FalseQuarantines() const {
  size_t count = 0;
  for (const auto& node : nodes_) {
    for (const quarantined_request& entry : node->Entries(Clock())) {
      count += entry.request >= kFirstAlike ? 1 : 0;
    }
  }
  return count;
}

void request_fleet::At(time_point at, std::function<void()> run) {
  events_.push({at, ++event_number_, std::move(run)});
}

double request_fleet::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

milliseconds request_fleet::Uniform(milliseconds longest) {
  return ToMilliseconds(Uniform() * static_cast<double>(longest.count()));
}

milliseconds request_fleet::Exponential(milliseconds mean) {
  return ToMilliseconds(std::exponential_distribution<double>(
      1.0 / static_cast<double>(mean.count()))(random_));
}

void request_fleet::ScheduleArrival() {
  const duration pause = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(std::exponential_distribution<double>(
          scenario_.requests_per_second)(random_)));
  At(now_ + pause, [this] {
    const request_ptr made = MakeRequest();
    outcome_.sound += made->type == kind::kUnique ? 1 : 0;
    outcome_.alike += made->type == kind::kAlike ? 1 : 0;
    Arrive(made);
    ScheduleArrival();
  });
}

void request_fleet::ScheduleOtherCrash() {
  if (scenario_.other_crashes_per_second <= 0) {
    return;
  }
  const milliseconds mean =
      ToMilliseconds(1000 / scenario_.other_crashes_per_second);
  At(now_ + Exponential(mean), [this] {
    Crash(random_() % upstreams_.size(), false);
    ScheduleOtherCrash();
  });
}

void request_fleet::ScheduleHerd() {
  if (!scenario_.herd_at.has_value()) {
    return;
  }
  for (size_t i = 0; i < scenario_.herd_size; ++i) {
    At(start_ + *scenario_.herd_at + Uniform(scenario_.herd_span),
       [this, i] { Crash(i, false); });
  }
}

request_fleet::request_ptr request_fleet::MakeRequest() {
  auto made = std::make_shared<request>();
  double draw = Uniform();
  const auto take = [&draw](double share) {
    const bool taken = draw >= 0 && draw < share;
    draw -= share;
    return taken;
  };
  for (size_t i = 0; i < deadly_.size(); ++i) {
    if (take(scenario_.deadly_share) && IsDeadlyTime()) {
      made->type = kind::kDeadly;
      made->key = kFirstDeadly + i;
      return made;
    }
  }
  made->key = kFirstUnique + ++request_number_;
  if (take(scenario_.deadly_part_share) && IsDeadlyTime() &&
      crashes_by_part_ < kCrashesToFindPart) {
    made->type = kind::kDeadlyPart;
    return made;
  }
  if (take(scenario_.alike_share)) {
    made->type = kind::kAlike;
    made->key = kFirstAlike + random_() % scenario_.alike_requests;
  }
  return made;
}

bool request_fleet::IsDeadlyTime() const {
  return std::any_of(scenario_.deadly_times.begin(),
                     scenario_.deadly_times.end(), [&](const auto& times) {
                       return now_ - start_ >= times.first &&
                              now_ - start_ < times.second;
                     });
}

void request_fleet::Arrive(const request_ptr& arrived) {
  arrived->node = random_() % nodes_.size();
  if (IsAsleep(arrived->node)) {
    arrived->node = nodes_.size() - 1;
  }
  const quarantine_verdict verdict =
      nodes_[arrived->node]->Decide(arrived->key, Clock());
  if (verdict.decision == quarantine_decision::kAllowed) {
    Send(arrived);
    return;
  }
  Reject(arrived);
}

void request_fleet::Reject(const request_ptr& rejected) {
  if (std::exchange(rejected->rejected, true)) {
    return;
  }
  outcome_.sound_rejected += rejected->type == kind::kUnique ? 1 : 0;
  outcome_.alike_rejected += rejected->type == kind::kAlike ? 1 : 0;
}

void request_fleet::Send(const request_ptr& sent) {
  std::vector<size_t> up;
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    if (upstreams_[i].down_until <= now_) {
      up.push_back(i);
    }
  }
  if (up.empty()) {
    return;
  }
  nodes_[sent->node]->RecordSending(sent->key, Clock());
  Flush(sent->node);
  CountSending(sent);
  sent->upstream = up[random_() % up.size()];
  sent->sent_at = Clock();
  sent->sending = ++sending_number_;
  sent->ended = false;
  upstreams_[sent->upstream].running.push_back(sent);
  if (sent->type == kind::kDeadly || sent->type == kind::kDeadlyPart) {
    AfterSending(sent, TimeToCrash(), [this, sent] { OnDeadly(sent); });
    return;
  }
  const milliseconds prefill = kShortestPrefill + Exponential(kMeanPrefill);
  const milliseconds answer = Exponential(scenario_.answer);
  if (Uniform() < scenario_.broken_share) {
    AfterSending(sent, prefill, [this, sent] { BreakOff(sent); });
    return;
  }
  AfterSending(sent, prefill + answer, [this, sent] { Succeed(sent); });
}

void request_fleet::CountSending(const request_ptr& sent) {
  if (sent->type != kind::kDeadly || !IsInTouch(sent->node)) {
    return;
  }
  deadly_history& history = deadly_[sent->key - kFirstDeadly];
  const bool late = history.third_crash_at.has_value() &&
                    Clock() - *history.third_crash_at > kContactWindow;
  history.sent_late += late ? 1 : 0;
}

void request_fleet::AfterSending(const request_ptr& sent, milliseconds delay,
                                 std::function<void()> then) {
  At(now_ + delay, [sent, sending = sent->sending, then = std::move(then)] {
    if (!sent->ended && sent->sending == sending) {
      then();
    }
  });
}

milliseconds request_fleet::TimeToCrash() {
  constexpr milliseconds kLongestHead{50};
  constexpr milliseconds kShortestStream{1000};
  constexpr milliseconds kStreamSpan{2000};
  const milliseconds prefill = kShortestPrefill + Exponential(kMeanPrefill);
  switch (scenario_.moment) {
    case deadly_moment::kHead:
      return milliseconds(1) + Uniform(kLongestHead);
    case deadly_moment::kFirstOutput:
      return prefill;
    case deadly_moment::kStream:
      return prefill + kShortestStream + Uniform(kStreamSpan);
  }
  return prefill;
}

void request_fleet::OnDeadly(const request_ptr& deadly) {
  if (deadly->type == kind::kDeadlyPart) {
    ++crashes_by_part_;
    Crash(deadly->upstream, true);
    return;
  }
  deadly_history& history = deadly_[deadly->key - kFirstDeadly];
  ++history.crashes;
  if (history.crashes == kCountedCrashes) {
    history.third_crash_at = Clock();
  }
  Crash(deadly->upstream, false);
}

void request_fleet::Succeed(const request_ptr& done) {
  done->ended = true;
  std::erase(upstreams_[done->upstream].running, done);
  nodes_[done->node]->RecordSuccess(done->key, Clock());
  Flush(done->node);
}

void request_fleet::WriteOutput(size_t number) {
  for (const request_ptr& running : upstreams_[number].running) {
    if (Clock() - running->sent_at > kMeanPrefill) {
      nodes_[running->node]->RecordByte(upstreams_[number].key, Clock());
      Flush(running->node);
    }
  }
}

void request_fleet::Crash(size_t number, bool by_part) {
  if (upstreams_[number].down_until > now_) {
    return;
  }
  constexpr int kNoticeSpanMs = 4;
  constexpr milliseconds kShortestLoopPause{40};
  constexpr milliseconds kLoopPauseSpan{100};
  const std::vector<request_ptr> broken =
      std::exchange(upstreams_[number].running, {});
  upstreams_[number].down_until = now_ + kDownTime;
  const uint32_t key = upstreams_[number].key;
  const bool explained = by_part && crashes_by_part_ >= kCrashesToFindPart;
  for (const request_ptr& victim : broken) {
    victim->ended = true;
    // Nodes notice the crash at slightly different times.
    const bool reads_late = scenario_.late_reader_share > 0 &&
                            Uniform() < scenario_.late_reader_share;
    const milliseconds delay =
        reads_late ? kShortestLoopPause + Uniform(kLoopPauseSpan)
                   : milliseconds(random_() % kNoticeSpanMs);
    At(now_ + delay, [this, victim, key, explained, reads_late] {
      request_quarantine& node = *nodes_[victim->node];
      if (reads_late) {
        node.RecordByte(key, Clock());
      }
      if (explained && victim->type == kind::kDeadlyPart) {
        node.ExplainCrash(key, Clock());
      } else {
        node.RecordCrash(key, victim->key, victim->sent_at, Clock());
      }
      Flush(victim->node);
      Repeat(victim);
    });
  }
  upstreams_[number].key = ++upstream_number_;
}

void request_fleet::BreakOff(const request_ptr& broken) {
  const size_t number = broken->upstream;
  broken->ended = true;
  std::erase(upstreams_[number].running, broken);
  nodes_[broken->node]->RecordCrash(upstreams_[number].key, broken->key,
                                    broken->sent_at, Clock());
  Flush(broken->node);
  At(now_ + kOutputPause, [this, number] { WriteOutput(number); });
  At(now_ + 2 * kOutputPause, [this, number] { WriteOutput(number); });
  Repeat(broken);
}

void request_fleet::Repeat(const request_ptr& broken) {
  if (IsAsleep(broken->node)) {
    return;
  }
  const bool allowed =
      nodes_[broken->node]->Decide(broken->key, Clock()).decision ==
      quarantine_decision::kAllowed;
  if (allowed && broken->tries_left > 0) {
    --broken->tries_left;
    Send(broken);
    return;
  }
  if (!allowed) {
    Reject(broken);
  }
  if (broken->client_tries_left > 0) {
    --broken->client_tries_left;
    broken->tries_left = 1;
    At(now_ + kClientPause, [this, broken] { Arrive(broken); });
  }
}

void request_fleet::Tick(size_t node) {
  if (!IsAsleep(node)) {
    nodes_[node]->Tick(Clock());
    Flush(node);
  }
  // One node writes the changes to the archive.
  if (node + 1 == nodes_.size()) {
    archive_ = nodes_[node]->Entries(Clock());
  }
  At(now_ + kTick, [this, node] { Tick(node); });
}

void request_fleet::Report(size_t node) {
  const request_notice report{{}, {}, {}, {}, nodes_[node]->Report(Clock())};
  outcome_.max_memory_bytes =
      std::max(outcome_.max_memory_bytes, nodes_[node]->MemoryBytes());
  if (!IsAsleep(node)) {
    Broadcast(node, report);
  }
  At(now_ + QuarantineReportPeriod(), [this, node] { Report(node); });
}

milliseconds request_fleet::QuarantineReportPeriod() const {
  return kReportsPerQuarantineReport * ReportPeriod(nodes_.size());
}

void request_fleet::Flush(size_t node) {
  if (std::exchange(flushing_[node], 1) != 0) {
    return;
  }
  At(now_ + kLoopTurn, [this, node] {
    flushing_[node] = 0;
    Broadcast(node, nodes_[node]->TakeNotice());
  });
}

void request_fleet::Broadcast(size_t from, const request_notice& notice) {
  constexpr int kLongestDelayMs = 12;
  if (scenario_.alone || notice.empty()) {
    return;
  }
  outcome_.datagrams +=
      EncodeRequestNotice(notice).size() * (nodes_.size() - 1);
  // Nodes are reached at a few different moments.
  constexpr size_t kMoments = 4;
  const auto told = std::make_shared<const request_notice>(notice);
  for (size_t moment = 0; moment < kMoments; ++moment) {
    At(now_ + milliseconds(1 + random_() % kLongestDelayMs),
       [this, from, moment, told] {
         for (size_t to = moment; to < nodes_.size(); to += kMoments) {
           Deliver(from, to, *told);
         }
       });
  }
}

void request_fleet::Deliver(size_t from, size_t to,
                            const request_notice& notice) {
  if (to == from || IsCut(from) || IsCut(to) || IsAsleep(to) ||
      Uniform() < scenario_.loss) {
    return;
  }
  nodes_[to]->OnNotice(notice, Clock());
  Flush(to);
}

bool request_fleet::IsAsleep(size_t node) const {
  return node < scenario_.sleeping_nodes &&
         now_ - start_ >= scenario_.sleep.first &&
         now_ - start_ < scenario_.sleep.second;
}

bool request_fleet::IsCut(size_t node) const {
  return node >= scenario_.sleeping_nodes &&
         node < scenario_.sleeping_nodes + scenario_.cut_nodes;
}

bool request_fleet::IsInTouch(size_t node) const {
  const bool woke_just_now =
      node < scenario_.sleeping_nodes &&
      now_ - start_ >= scenario_.sleep.first &&
      now_ - start_ < scenario_.sleep.second + kContactWindow;
  return !IsCut(node) && !woke_just_now;
}

}  // namespace skylarkcroft

#include "load/skylarkcroft_load_generator.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "load/skylarkcroft_arrival_process.h"
#include "load/skylarkcroft_group_recorder.h"
#include "load/skylarkcroft_load_request.h"
#include "load/skylarkcroft_prompt_source.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft::load {
namespace {

constexpr std::chrono::seconds kProgressPeriod{1};
// Seeds of one run's random sources, so that no two share a sequence.
constexpr uint64_t kSeedsPerGroup = 2;
constexpr uint64_t kFirstGroupSeed = 1;

uint64_t DerivedSeed(uint64_t seed, uint64_t number) {
  std::seed_seq sequence{seed & UINT32_MAX, seed >> 32U, number};
  std::mt19937_64 random(sequence);
  return random();
}

}  // namespace

struct load_generator::group_state {
  group_state(const caller_group& group, const experiment_definition& run,
              uint64_t first_seed)
      : definition(group),
        arrivals(group, run.duration, DerivedSeed(run.seed, first_seed)),
        prompts(group.prompt, group.name,
                DerivedSeed(run.seed, first_seed + 1)),
        recorder(group),
        next(arrivals.Next()) {}

  std::string NextContent() {
    if (definition.kind != request_kind::kPlain) {
      return prompts.Next();
    }
    std::string body = R"({"pad":")";
    body.append(definition.body_bytes, 'x');
    return definition.body_bytes == 0 ? "" : body + "\"}";
  }

  const caller_group& definition;
  arrival_process arrivals;
  prompt_source prompts;
  group_recorder recorder;
  std::optional<arrival> next;
  int64_t number = 0;
};

struct load_generator::open_request {
  group_state* group;
  std::unique_ptr<load_request> request;
};

load_generator::load_generator(event_loop& loop,
                               experiment_definition definition,
                               std::string run_id, load_hooks hooks)
    : loop_(loop),
      definition_(std::move(definition)),
      run_id_(std::move(run_id)),
      hooks_(std::move(hooks)),
      client_(loop),
      node_random_(DerivedSeed(definition_.seed, 0)) {
  if (definition_.nodes.empty()) {
    throw config_error("$.nodes", "names no node",
                       "list the nodes here or give --node IP:PORT");
  }
  uint64_t seed = kFirstGroupSeed;
  for (const caller_group& group : definition_.groups) {
    groups_.push_back(std::make_unique<group_state>(group, definition_, seed));
    seed += kSeedsPerGroup;
  }
}

load_generator::~load_generator() = default;

void load_generator::Start(std::function<void()> on_finished) {
  on_finished_ = std::move(on_finished);
  started_ = hooks_.clock();
  if (hooks_.on_progress) {
    progress_timer_ =
        loop_.Every(kProgressPeriod, [this] { ReportProgress(); });
  }
  end_timer_ = loop_.After(definition_.duration + definition_.drain,
                           [this] { Finish(); });
  ScheduleNext(started_);
}

void load_generator::ScheduleNext(time_point now) {
  std::optional<time_point> next;
  for (const auto& group : groups_) {
    if (!group->next.has_value()) {
      continue;
    }
    const time_point at = started_ + group->next->at;
    next = next.has_value() ? std::min(*next, at) : at;
  }
  if (!next.has_value()) {
    arrivals_over_ = true;
    if (open_.empty()) {
      Finish();
    }
    return;
  }
  arrival_timer_ =
      loop_.After(std::max(duration(0), *next - now), [this] { SendDue(); });
}

void load_generator::SendDue() {
  const time_point now = hooks_.clock();
  for (const auto& group : groups_) {
    SendDue(*group, now);
  }
  ScheduleNext(hooks_.clock());
}

void load_generator::SendDue(group_state& group, time_point now) {
  while (group.next.has_value() && started_ + group.next->at <= now) {
    SendOne(group, group.next->caller, started_ + group.next->at, now);
    group.next = group.arrivals.Next();
  }
}

void load_generator::SendOne(group_state& group, int caller,
                             time_point intended, time_point now) {
  const bool bounded =
      sent_ >= definition_.max_requests ||
      static_cast<int64_t>(open_.size()) >= definition_.max_in_flight;
  if (bounded) {
    group.recorder.AddNotSent();
    return;
  }
  const int64_t number = sent_++;
  ++group.number;
  send_delay_.Add(now - intended);
  request_plan plan{caller, group.NextContent(), "", intended};
  if (group.definition.idempotency_key) {
    plan.idempotency_key = run_id_ + "-" + group.definition.name + "-" +
                           std::to_string(group.number);
  }
  const request_context context{
      loop_,
      client_,
      hooks_.clock,
      [this](const endpoint& avoid) { return PickNode(avoid); },
      hooks_.token_text,
      definition_.progress_timeout,
      definition_.resume_broken};
  auto request = std::make_unique<load_request>(
      context, group.definition, std::move(plan),
      [this, number](const request_record& record) {
        const auto found = open_.find(number);
        found->second.group->recorder.Add(record);
        open_.erase(found);
        if (arrivals_over_ && open_.empty()) {
          loop_.Defer([this] { Finish(); });
        }
      });
  load_request& started = *request;
  open_.emplace(number, open_request{&group, std::move(request)});
  started.Start();
}

endpoint load_generator::PickNode(const endpoint& avoid) {
  const std::vector<endpoint>& nodes = definition_.nodes;
  std::uniform_int_distribution<size_t> pick(0, nodes.size() - 1);
  const size_t picked = pick(node_random_);
  if (nodes[picked] == avoid) {
    return nodes[(picked + 1) % nodes.size()];
  }
  return nodes[picked];
}

void load_generator::Finish() {
  if (std::exchange(finished_, true)) {
    return;
  }
  ended_ = hooks_.clock();
  for (const auto& [number, open] : open_) {
    open.group->recorder.Add(open.request->Abandoned(ended_));
  }
  open_.clear();
  arrival_timer_.reset();
  progress_timer_.reset();
  end_timer_.reset();
  on_finished_();
}

void load_generator::ReportProgress() {
  const auto in_flight = static_cast<int64_t>(open_.size());
  hooks_.on_progress({milliseconds(ElapsedMs(started_, hooks_.clock())), sent_,
                      sent_ - in_flight, in_flight});
}

load_result load_generator::Result() const {
  const time_point until = finished_ ? ended_ : hooks_.clock();
  load_result result;
  result.name = definition_.name;
  result.seed = definition_.seed;
  result.duration_s = std::chrono::duration<double>(until - started_).count();
  result.send_delay = send_delay_.Summary();
  for (const auto& group : groups_) {
    result.groups.push_back(group->recorder.Result());
  }
  return result;
}

}  // namespace skylarkcroft::load

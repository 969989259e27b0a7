#include "standins/engine/batch_scheduler.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft::standin {
namespace {

// Share of the full batch's step time that a batch of one takes.
constexpr double kSingleJobShare = 0.7;
// A loop that was held up longer than this loses the steps before.
constexpr milliseconds kMaxCatchUp{500};

duration Scaled(duration span, double factor) {
  return std::chrono::round<duration>(span * factor);
}

}  // namespace

batch_scheduler::batch_scheduler(const batch_speeds& speeds, start_fn start)
    : speeds_(speeds), start_(std::move(start)) {}

void batch_scheduler::Submit(const batch_job& job, time_point now) {
  waiting_.emplace(waiting_key{job.priority, arrivals_++}, job);
  StartWaiting(now);
  Plan(now);
}

bool batch_scheduler::Remove(job_id id, time_point now) {
  const size_t waited = std::erase_if(
      waiting_, [id](const auto& entry) { return entry.second.id == id; });
  if (waited > 0) {
    return true;
  }
  const size_t ran = std::erase_if(
      running_, [id](const running_job& job) { return job.id == id; });
  if (ran == 0) {
    return false;
  }
  StartWaiting(now);
  Plan(now);
  return true;
}

std::vector<job_id> batch_scheduler::Advance(time_point now) {
  std::vector<job_id> generated;
  if (next_step_.has_value()) {
    next_step_ = std::max(*next_step_, now - kMaxCatchUp);
  }
  while (next_step_.has_value() && *next_step_ <= now) {
    const time_point at = *next_step_;
    next_step_.reset();
    Step(at, generated);
    StartWaiting(at);
    Plan(at);
  }
  return generated;
}

void batch_scheduler::Step(time_point at, std::vector<job_id>& generated) {
  for (running_job& job : running_) {
    if (job.ready_at > at) {
      continue;
    }
    generated.push_back(job.id);
    --job.tokens_left;
  }
  std::erase_if(running_,
                [](const running_job& job) { return job.tokens_left <= 0; });
}

void batch_scheduler::StartWaiting(time_point now) {
  while (!waiting_.empty() && running() < speeds_.slots) {
    const batch_job job = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    StartJob(job, now);
  }
}

void batch_scheduler::StartJob(const batch_job& job, time_point now) {
  const std::optional<int64_t> prefill_tokens = start_(job.id, now);
  if (!prefill_tokens.has_value()) {
    return;
  }
  time_point prefilled = now;
  if (*prefill_tokens > 0) {
    const std::chrono::duration<double> prefill(
        static_cast<double>(*prefill_tokens) / speeds_.prefill_tokens_per_s);
    prefilled =
        std::max(now, prefill_free_at_) +
        Scaled(std::chrono::duration_cast<duration>(prefill), slow_factor_);
    prefill_free_at_ = prefilled;
  }
  running_.push_back({job.id, job.tokens,
                      prefilled + Scaled(speeds_.first_token, slow_factor_)});
  max_running_ = std::max(max_running_, running());
}

void batch_scheduler::Plan(time_point at) {
  if (running_.empty()) {
    next_step_.reset();
    return;
  }
  const int decoding = Decoding(at);
  if (decoding > 0) {
    next_step_ = next_step_.value_or(at + StepTime(decoding));
    return;
  }
  const auto first =
      std::min_element(running_.begin(), running_.end(),
                       [](const running_job& left, const running_job& right) {
                         return left.ready_at < right.ready_at;
                       });
  next_step_ = first->ready_at;
}

int batch_scheduler::Decoding(time_point at) const {
  return static_cast<int>(std::count_if(
      running_.begin(), running_.end(),
      [at](const running_job& job) { return job.ready_at <= at; }));
}

duration batch_scheduler::StepTime(int decoding) const {
  const double others = std::max(1, speeds_.slots - 1);
  const double share =
      kSingleJobShare + (1 - kSingleJobShare) * (decoding - 1) / others;
  return Scaled(speeds_.token, share * slow_factor_);
}

}  // namespace skylarkcroft::standin

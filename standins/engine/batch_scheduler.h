#ifndef SKYLARKCROFT_STANDINS_ENGINE_BATCH_SCHEDULER_H_
#define SKYLARKCROFT_STANDINS_ENGINE_BATCH_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::standin {

using job_id = uint64_t;

/// Speeds of one engine.
struct batch_speeds {
  int slots = 16;
  /// Time to the first token beside the prefill.
  milliseconds first_token{50};
  /// Time between tokens with all slots taken; a smaller batch is faster.
  milliseconds token{30};
  double prefill_tokens_per_s = 8000;
};

/// A job to schedule.
struct batch_job {
  job_id id = 0;
  /// Lower runs first.
  int64_t priority = 0;
  /// Tokens to generate, at least 1.
  int64_t tokens = 1;
};

/// Continuous batching: up to `slots` jobs run and share each decode step; the
/// others wait by priority, then arrival. Prefills run one after the other.
class batch_scheduler {
 public:
  /// Called when a job gets a slot; returns the tokens it has to prefill, or
  /// nothing to drop the job. Must not call the scheduler.
  using start_fn =
      std::function<std::optional<int64_t>(job_id id, time_point now)>;

  batch_scheduler(const batch_speeds& speeds, start_fn start);

  void Submit(const batch_job& job, time_point now);
  /// Ends a waiting or running job; false when it is neither.
  bool Remove(job_id id, time_point now);
  /// Runs the steps due by `now`. Returns one entry for each token generated,
  /// in order; a job whose last token this is has left the scheduler.
  std::vector<job_id> Advance(time_point now);
  /// When Advance() is next due; nothing while no job runs.
  [[nodiscard]] std::optional<time_point> next_step() const {
    return next_step_;
  }
  /// Multiplies the times of the steps from now on.
  void SetSlowFactor(double factor) { slow_factor_ = factor; }

  [[nodiscard]] int running() const {
    return static_cast<int>(running_.size());
  }
  [[nodiscard]] int waiting() const {
    return static_cast<int>(waiting_.size());
  }
  [[nodiscard]] int max_running() const { return max_running_; }

 private:
  struct running_job {
    job_id id;
    int64_t tokens_left;
    time_point ready_at;
  };
  using waiting_key = std::pair<int64_t, uint64_t>;

  void Step(time_point at, std::vector<job_id>& generated);
  void StartWaiting(time_point now);
  void StartJob(const batch_job& job, time_point now);
  /// Sets the next step after a step at `at`, or after a change when no step
  /// stands.
  void Plan(time_point at);
  [[nodiscard]] int Decoding(time_point at) const;
  [[nodiscard]] duration StepTime(int decoding) const;

  batch_speeds speeds_;
  start_fn start_;
  double slow_factor_ = 1;
  std::vector<running_job> running_;
  std::map<waiting_key, batch_job> waiting_;
  uint64_t arrivals_ = 0;
  time_point prefill_free_at_ = time_point::min();
  std::optional<time_point> next_step_;
  int max_running_ = 0;
};

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_ENGINE_BATCH_SCHEDULER_H_

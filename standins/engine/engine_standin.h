#ifndef SKYLARKCROFT_STANDINS_ENGINE_ENGINE_STANDIN_H_
#define SKYLARKCROFT_STANDINS_ENGINE_ENGINE_STANDIN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "standins/common/lagged_value.h"
#include "standins/common/standin_server.h"
#include "standins/engine/batch_scheduler.h"
#include "standins/engine/cache_event_log.h"
#include "standins/engine/engine_options.h"
#include "standins/engine/engine_report.h"
#include "standins/engine/kv_store.h"
#include "standins/engine/order_state.h"
#include "standins/engine/prefix_cache.h"

namespace skylarkcroft::standin {

class engine_job;

/// One model engine on one port, as docs/upstream-protocol.md describes it.
class engine_standin {
 public:
  /// Throws network_error when the address cannot be bound.
  engine_standin(event_loop& loop, const engine_options& options,
                 clock_fn clock);
  ~engine_standin();
  engine_standin(const engine_standin&) = delete;
  engine_standin& operator=(const engine_standin&) = delete;

  [[nodiscard]] const endpoint& address() const { return server_.address(); }
  [[nodiscard]] engine_stats stats() const;

 private:
  using job_map = std::map<job_id, std::unique_ptr<engine_job>>;

  /// A request that is not taken on.
  struct refusal {
    int status;
    std::string message;
  };

  void Handle(const http_exchange_ptr& exchange);
  void HandleCompletion(const http_exchange_ptr& exchange);
  void HandleCancel(http_exchange& exchange);
  void HandleExport(http_exchange& exchange);
  void HandleImport(http_exchange& exchange);
  void HandleOrder(http_exchange& exchange);
  void HandleEvents(http_exchange& exchange);
  void HandleLoad(http_exchange& exchange);

  [[nodiscard]] std::optional<refusal> CheckState(time_point now) const;
  /// Throws config_error when the engine does not serve the request's model or
  /// the resume lies beyond the answer.
  void CheckRequest(const engine_job& job, time_point now) const;
  /// Applies a drawn fault; true when that has settled the request.
  bool ApplyFault(const fault& drawn, const http_exchange_ptr& exchange);
  void Accept(std::unique_ptr<engine_job> job, http_exchange& exchange,
              time_point now);
  /// Called by the scheduler; the tokens to prefill.
  std::optional<int64_t> StartJob(job_id id, time_point now);
  /// Tokens of `job` that need no prefill.
  int64_t CachedTokens(const engine_job& job, time_point now);
  void Advance();
  void Arm();
  /// Removes the job, and answers it if `answer`.
  void StopJob(job_id id, bool answer);
  /// The latest job of that request; null when there is none.
  engine_job* FindJob(const std::string& request_id);
  void Sample(time_point now);
  [[nodiscard]] load_report Measure(time_point now) const;

  event_loop& loop_;
  engine_options options_;
  clock_fn clock_;
  engine_stats stats_;
  job_map jobs_;
  job_id next_job_ = 1;
  batch_scheduler scheduler_;
  prefix_cache cache_;
  cache_event_log events_;
  kv_store imports_;
  order_state orders_;
  int64_t samples_ = 0;
  int64_t sampled_tokens_ = 0;
  time_point rate_since_;
  double decode_tokens_per_s_ = 0;
  standin_server server_;
  lagged_value<load_report> load_;
  event_loop::handle_ptr sample_timer_;
  event_loop::handle_ptr step_timer_;
};

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_ENGINE_ENGINE_STANDIN_H_

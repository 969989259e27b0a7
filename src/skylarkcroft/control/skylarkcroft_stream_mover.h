#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_STREAM_MOVER_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_STREAM_MOVER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "skylarkcroft/control/skylarkcroft_movable_streams.h"
#include "skylarkcroft/control/skylarkcroft_move_plan.h"
#include "skylarkcroft/control/skylarkcroft_timed_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Counts since the start of the process. Tokens include prompt and response
/// tokens.
struct move_counts {
  uint64_t transferred = 0;
  uint64_t resumed = 0;
  int64_t recomputed_tokens = 0;
  /// Tokens that would have been recomputed if every moved stream had been
  /// resumed with a prefill.
  int64_t restart_tokens = 0;

  bool operator==(const move_counts&) const = default;
};

/// Moves streams off engines whose hosts will be reclaimed. The KV cache is
/// exported from the old engine and imported into a new one, where the stream
/// continues. If a step fails, the stream is resumed elsewhere with a prefill.
class stream_mover {
 public:
  stream_mover(event_loop& loop, http_client& client, movable_streams& streams,
               const move_parameters& parameters, clock_fn clock);
  ~stream_mover();
  stream_mover(const stream_mover&) = delete;
  stream_mover& operator=(const stream_mover&) = delete;

  /// Starts moving streams off the engine at `address`, which will be reclaimed
  /// at `notice_end`. May be called repeatedly for one engine.
  void OnReclaimNotice(const endpoint& address, time_point notice_end);

  [[nodiscard]] const move_counts& counts() const { return counts_; }

  static constexpr milliseconds kPlanPeriod{250};

 private:
  struct transfer {
    endpoint from;
    running_stream stream;
    std::string kv;
    int64_t kv_tokens = 0;
    endpoint target;
  };
  using transfer_ptr = std::shared_ptr<transfer>;

  void PlanAll();
  void PlanMovesOf(const endpoint& address, time_point notice_end);
  void StartMove(const endpoint& address, const running_stream& stream,
                 move_kind kind);
  void OnExported(const transfer_ptr& pending,
                  const std::optional<http_response>& response);
  void OnImported(const transfer_ptr& pending, bool imported);
  void Resume(const running_stream& stream);
  void EndTransfer(const endpoint& address, const std::string& request_id);

  event_loop& loop_;
  timed_http_client calls_;
  movable_streams& streams_;
  move_parameters parameters_;
  clock_fn clock_;
  std::map<endpoint, time_point> notice_ends_;
  // Ids of the requests with a transfer in progress, by old engine.
  std::map<endpoint, std::set<std::string>> transferring_;
  move_counts counts_;
  event_loop::handle_ptr timer_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_STREAM_MOVER_H_

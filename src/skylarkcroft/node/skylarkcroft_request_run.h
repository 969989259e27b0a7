#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_REQUEST_RUN_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_REQUEST_RUN_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/admission/skylarkcroft_admission.h"
#include "skylarkcroft/attempt/skylarkcroft_accepted_request.h"
#include "skylarkcroft/attempt/skylarkcroft_attempt.h"
#include "skylarkcroft/attempt/skylarkcroft_buffered_response.h"
#include "skylarkcroft/attempt/skylarkcroft_hedged_attempt.h"
#include "skylarkcroft/attempt/skylarkcroft_outcome_poller.h"
#include "skylarkcroft/claims/skylarkcroft_request_claim.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/quarantine/skylarkcroft_part_quarantine.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_quarantine.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_choice.h"

namespace skylarkcroft {

class http_client;
class upstream_directory;

/// What the runs of a node share.
struct run_environment {
  event_loop& loop;
  http_client& client;
  upstream_directory& directory;
  claim_store& claims;
  part_quarantine& quarantine;
  request_quarantine& crashing_requests;
  choose_fn choose;
  /// Notes a first try in the pool's retry budget.
  std::function<void(const std::string& pool)> note_first_try;
  /// Takes one retry from the pool's budget; false when it is used up.
  std::function<bool(const std::string& pool)> take_retry;
  /// Counts a retry by the outcome of the try before it.
  std::function<void(std::string_view reason)> count_retry;
  /// Counts what happened to a run, by its lower-case name.
  std::function<void(std::string_view event)> count_event;
  std::function<void(rank work_rank, duration elapsed)> note_first_token;
  /// Notes the time from a request's first try to its first token.
  std::function<void(const std::string& pool, duration elapsed)>
      note_try_first_token;
  /// Time without a token after which a second try may start; empty for never.
  std::function<std::optional<duration>(const std::string& pool)> hedge_delay;
  /// Uniform in [0, 1), for backoff.
  std::function<double()> random;
  clock_fn clock;
};

/// Carries one accepted request to its end: claims the key of a request that
/// may run only once, tries upstreams, resumes a broken stream from the offset
/// that was delivered, and ends the answer in every case.
class request_run {
 public:
  /// `on_end(tokens)` runs once, after the answer has ended.
  request_run(run_environment& environment, accepted_request request,
              std::function<void(int64_t actual_tokens)> on_end);
  ~request_run();
  request_run(const request_run&) = delete;
  request_run& operator=(const request_run&) = delete;

  [[nodiscard]] const accepted_request& request() const { return request_; }
  [[nodiscard]] const std::shared_ptr<buffered_response>& result() const {
    return answer_;
  }
  [[nodiscard]] bool started() const { return started_; }
  /// Upstream of the current try; empty when there is none.
  [[nodiscard]] const std::string& upstream_name() const {
    return upstream_name_;
  }

  /// Takes the claim of the request's key. `on_held` runs when the request may
  /// go on; otherwise the answer ends.
  void TakeClaim(std::function<void()> on_held);
  /// Ends the request if it or its prompt crashes upstreams; returns whether it
  /// does.
  bool FailIfQuarantined(time_point now);
  /// Starts the first try, or goes on after Pause().
  void Begin(time_point now);
  /// Stops the current try so that another request can have its place. The
  /// answer stays as it is. Only for idempotent requests.
  void Pause(time_point now);
  /// Keeps back what the current try brings, and starts no other, until
  /// ResumeOutput(). Another node may then start from the tokens so far.
  void SuspendOutput();
  /// Goes on with what was kept back.
  void ResumeOutput();
  /// Ends the answer here, since another node goes on with it; tells readers
  /// where.
  void MoveAway();
  /// Keeps the end of the current try from being retried, until MoveTo() or
  /// ResumeElsewhere(). False when there is no try that could be moved.
  bool HoldForMove();
  /// Upstream other than the current one that a move would go to; null when
  /// none takes requests.
  [[nodiscard]] const upstream* ChooseForMove(time_point now) const;
  /// Leaves the current try and goes on at `target`, from the offset that was
  /// delivered. False when the request is not held for a move.
  bool MoveTo(const upstream& target, time_point now);
  /// Like MoveTo, at any other upstream. Where none takes the request, the
  /// current try goes on; a request whose try has ended waits for one.
  bool ResumeElsewhere(time_point now);
  /// Ends the answer as failed and stops the current try.
  void Fail(refusal_reason reason, const std::string& detail,
            std::optional<std::chrono::seconds> retry_after);

 private:
  void OnClaim(const claim_result& found, const std::function<void()>& on_held);
  void OnUnknownClaim(const std::string& upstream_name);
  void StartTry(time_point now);
  [[nodiscard]] bool IsQuarantined(time_point now) const;
  void RecordForQuarantine(const attempt_result& result,
                           const std::string& upstream_name, time_point now);
  /// Records that a byte arrived from an upstream, for both quarantines.
  void RecordByte(const std::string& upstream_name, time_point now);
  /// Records that an upstream ended under a try, for the quarantine of
  /// requests.
  void RecordCrash(const std::string& upstream_name, time_point now);
  void MarkAndSend(const upstream& target);
  void Send(const upstream& target, time_point now);
  void SendToEngine(const upstream& target, time_point now);
  [[nodiscard]] attempt_ptr StartEngineTry(const endpoint& address,
                                           engine_attempt_callbacks events,
                                           time_point now);
  /// Delay of a second try beside the one about to start; empty for none.
  [[nodiscard]] std::optional<duration> HedgeDelay() const;
  [[nodiscard]] attempt_ptr StartHedge(engine_attempt_callbacks events);
  /// Takes in what the upstream at `address` tells of itself.
  void OnAnnounced(const endpoint& address, const announcement& told);
  void OnHedgeLeft(hedge_side side, const attempt_result& result);
  void SendToService(const upstream& target, time_point now);
  /// Runs `step` now, or in ResumeOutput().
  void RunOrKeep(std::function<void()> step);
  void OnToken(const std::string& data);
  /// Whether the current try, whose upstream is silent, ends: only once a
  /// further try is granted. It goes to `successor_`.
  bool MayEndSilent();
  void OnDeadline();
  void OnTryEnded(const attempt_result& result);
  [[nodiscard]] bool MayRetry(bool try_may_have_run, time_point now) const;
  void CountRetry(attempt_outcome outcome);
  void RetryOrFail(const attempt_result& result, const upstream& from,
                   time_point now);
  void ScheduleRetry();
  void FailAfter(const attempt_result& result, const upstream& from);
  /// Asks `from` after the outcome, and fails as unknown when it does not say.
  void AskOutcome(const upstream& from, const std::string& detail);
  void CompleteEngine();
  void CompleteService(const http_response& response);
  void FailWith(const problem& why);
  /// Ends the hold and the current try.
  bool LeaveTry(time_point now);
  void DropTry(attempt_outcome outcome, time_point now);
  /// Stops all work; the answer is still open.
  void Stop();
  /// Stops all work and ends the answer.
  void Publish(const std::function<void()>& end_answer);
  [[nodiscard]] choice_query MakeQuery() const;
  [[nodiscard]] run_state RunState() const;

  run_environment& environment_;
  accepted_request request_;
  std::function<void(int64_t)> on_end_;
  std::shared_ptr<buffered_response> answer_ =
      std::make_shared<buffered_response>();
  request_claim claim_;
  attempt_ptr try_;
  std::unique_ptr<outcome_poller> outcome_query_;
  event_loop::handle_ptr timer_;
  event_loop::handle_ptr deadline_timer_;
  upstream current_upstream_;
  /// Upstream of a second try beside the current one.
  std::optional<upstream> hedge_upstream_;
  time_point try_started_{};
  /// Upstream of the try that was granted when the current one went silent.
  std::optional<upstream> successor_;
  /// When the first token of the current try arrived.
  std::optional<time_point> try_first_token_at_;
  prompt_key prompt_;
  request_key key_;
  std::string upstream_name_;
  std::string last_zone_;
  std::vector<std::string> tried_;
  int64_t tries_ = 0;
  /// Tries that Pause() stopped; they do not count as failed.
  int64_t paused_tries_ = 0;
  bool started_ = false;
  bool may_have_run_ = false;
  bool try_is_silent_ = false;
  bool held_for_move_ = false;
  bool output_suspended_ = false;
  std::vector<std::function<void()>> kept_steps_;
  bool ended_ = false;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_REQUEST_RUN_H_

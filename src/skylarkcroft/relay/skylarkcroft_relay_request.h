#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_REQUEST_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/relay/skylarkcroft_attempt_rules.h"
#include "skylarkcroft/relay/skylarkcroft_crash_monitor.h"
#include "skylarkcroft/relay/skylarkcroft_event_sequence.h"
#include "skylarkcroft/relay/skylarkcroft_relay_attempt.h"
#include "skylarkcroft/relay/skylarkcroft_relay_environment.h"
#include "skylarkcroft/relay/skylarkcroft_response_writer.h"
#include "skylarkcroft/relay/skylarkcroft_upstream_response.h"
#include "skylarkcroft/rollout/skylarkcroft_rollout_coordinator.h"
#include "skylarkcroft/streams/skylarkcroft_stream_versions.h"
#include "skylarkcroft/wire/skylarkcroft_message_reader.h"

namespace skylarkcroft {

/// A complete request of a client.
struct client_request {
  message_head head;
  std::string body;
  time_point arrived_at{};
};

/// Serves one client request: chooses an upstream, forwards its response and
/// retries failed attempts where that is allowed. Ends with exactly one
/// response or, if the client has disconnected, with none.
class relay_request {
 public:
  /// `response` must outlive the request.
  relay_request(relay_environment& environment, client_request request,
                response_writer& response);
  ~relay_request();
  relay_request(const relay_request&) = delete;
  relay_request& operator=(const relay_request&) = delete;

  void Start();
  /// Enforces time limits and backpressure; called every sweep_interval.
  void Tick(time_point now);
  /// The client has disconnected; cancels the attempt in flight.
  void OnClientDisconnected();
  /// Ends the request with an error because the process is about to exit.
  void AbortRequest(const std::string& reason);
  [[nodiscard]] bool ended() const { return ended_; }
  /// Memory that the request and its answer take, in bytes.
  [[nodiscard]] size_t held_bytes() const { return held_.bytes(); }
  /// Whether an upstream works on the request.
  [[nodiscard]] bool is_at_work() const { return attempt_ != nullptr; }

 private:
  using attempt = relay_attempt;
  using attempt_ptr = relay_attempt_ptr;

  bool CheckGate();
  void ChooseRoutedService();
  void SetService(const std::string& service);
  /// Rejects the request if it or its prompt crashes upstreams.
  bool CheckQuarantine();
  bool AcquireQuota();
  void SetDeadline();
  [[nodiscard]] milliseconds RemainingTime(time_point now) const;
  [[nodiscard]] placement_request MakePlacementRequest() const;
  void StartNextAttempt();
  /// Whether the client goes on with a stream of which it has events.
  [[nodiscard]] bool IsTakeUp() const;
  /// Finds out what began the stream that the client takes up, then goes on.
  void SearchOrigin();
  void OnOriginSearched(const origin_search& search);
  /// Whether the upstream may serve the stream of a route with resumable
  /// streams; true for other routes.
  [[nodiscard]] bool MayServe(const upstream_entry& upstream,
                              time_point now) const;
  /// Id of the request that began the stream, as the client names it.
  [[nodiscard]] std::string StreamId() const;
  /// The first event goes to the client.
  void RecordStreamBegun();
  /// Ends the request if its service has no room for a request of its rank and
  /// workspace. Requests of workspaces without a quota are always admitted.
  bool AdmitToService(bool placed_full, time_point now);
  /// Ends the request where no upstream of its service takes it.
  void EndWithoutUpstream(time_point now);
  [[nodiscard]] attempt_ptr SendTo(const placement& placed);
  /// Makes `begun` the attempt whose response goes to the client.
  void Adopt(attempt_ptr begun);
  [[nodiscard]] std::string FormatRequest(const placement& placed) const;
  void OnHead(attempt& from, const message_head& head);
  void OnBody(attempt& from, std::string_view bytes);
  void OnEnd(attempt& from, exchange_result result);
  /// Records what the upstream tells of itself in the head of a response.
  void RecordAnnouncements(const attempt& from, time_point now);
  void RecordExecutionStarted(attempt& started);
  void OnCompleteResponse();
  /// Keeps the body of a successor's refusal or error, in case the attempt
  /// before it fails first.
  void KeepErrorBody(attempt& from, std::string_view bytes);
  /// Keeps what the attempt's upstream has sent, and forwards what the client
  /// may have.
  void AcceptBody(std::string_view bytes, time_point now);
  /// Whether the end of the response is told by more than the end of its
  /// connection: by a length, by chunks or because it has no body.
  [[nodiscard]] bool IsDelimited() const;
  /// Whether the response that has ended was not broken off, as far as its
  /// bytes tell: a stream ends with a whole event, and a response that ends
  /// with its connection is not empty.
  [[nodiscard]] bool IsWholeBody() const;
  /// A process that ends closes its connections, so a response that ends with
  /// its connection is whole only if the process goes on: connects to the
  /// upstream to see whether it does.
  void ConfirmEnd();
  void ConnectToConfirmEnd(time_point now);
  [[nodiscard]] bool IsEndUnconfirmed() const;
  /// Decides on an unconfirmed end, or connects to the upstream again. One with
  /// too many connections drops some as well.
  void CheckUnconfirmedEnd(time_point now);
  /// Finishes the client's response with that of the upstream, which is whole.
  void DeliverWholeResponse();
  /// Forwards complete events that the client does not have yet.
  void ForwardEvents(std::string_view bytes);
  /// Records how long the attempt's engine took for the `events` that have just
  /// arrived together.
  void RecordSpeed(size_t events);
  /// The failure that the head of the attempt's response indicates; empty if
  /// the response is to be forwarded.
  [[nodiscard]] std::optional<attempt_failure> FailureOfHead(
      const attempt& from) const;
  [[nodiscard]] response_context ContextOf(const attempt& from) const;
  void ForwardWholeResponse();
  /// Ends the attempt; then retries, forwards the upstream's error response or
  /// ends the request with an error. An error response is forwarded unchanged,
  /// unless its status would wrongly tell the client that the request was not
  /// executed.
  void Fail(attempt_failure failure);
  /// Counts the failed attempt and tells what is known of it.
  void RecordFailure(attempt& failed, attempt_failure failure, time_point now);
  /// `upstreams_used` includes the attempt that failed, if it was sent.
  [[nodiscard]] bool MayRetryAfter(attempt_failure failure, int upstreams_used,
                                   time_point now) const;
  void CloseAttempt(upstream_outcome outcome);
  void CloseAttempt(upstream_outcome outcome, rollout_request_end end);
  void Close(attempt_ptr closed, upstream_outcome outcome);
  /// `end` is what the attempt shows about the version of its upstream.
  void Close(attempt_ptr closed, upstream_outcome outcome,
             rollout_request_end end);
  /// The upstream for the next attempt, among those that a rollout allows.
  [[nodiscard]] std::optional<placement> ChooseUpstream(time_point now) const;
  void CloseFailed(attempt_ptr failed, attempt_failure failure);
  /// Cancels the attempt and its successor without a verdict on their
  /// upstreams.
  void CancelAttempts();
  [[nodiscard]] attempt_record DescribeFailure(const attempt& failed,
                                               attempt_failure failure,
                                               time_point now) const;
  /// Cancels an attempt without output if the request or its prompt has been
  /// quarantined since it was sent; returns whether it has.
  bool RecallIfQuarantined(time_point now);
  /// A working upstream may pause, so a silent attempt goes on beside its
  /// successor until the upstream of that one answers.
  void CheckUpstreamSilence(time_point now);
  [[nodiscard]] bool IsUpstreamSilent(const attempt& sent,
                                      time_point now) const;
  /// Whether a successor of the silent attempt may be sent now.
  bool MayAddSuccessor(time_point now);
  /// Finds another upstream and opens a connection to it.
  void OpenSuccessor(time_point now);
  void OnSuccessorOpened(const placement& successor, connect_outcome outcome);
  /// The successor's upstream answers: gives the attempt up and goes on with
  /// the successor.
  void PromoteSuccessor();
  /// Gives up one of two silent attempts: the successor if the other has begun
  /// to answer.
  void DropOneOfTwoSilent(time_point now);
  void OnSuccessorEnd(exchange_result result);
  /// The attempt goes on without its successor.
  void DropSuccessor(attempt_failure failure, time_point now);
  /// Ends a successor; it counts as an attempt if it was sent.
  void CancelSuccessor();
  /// The attempt's upstream answers before that of its successor.
  void EndRace();
  /// Number of upstreams that have the request at present.
  [[nodiscard]] int attempts_in_flight() const;
  /// `silence` is the time without a byte while the relay read.
  [[nodiscard]] bool IsEngineTimedOut(const attempt& sent, milliseconds silence,
                                      time_point now) const;
  void ApplyBackpressure();
  /// Whether the answer is to wait at its upstream: the client takes it too
  /// slowly, or the node's memory is short.
  [[nodiscard]] bool MustPauseAnswer() const;
  /// Tells the account of memory what the request takes.
  void UpdateHeld();
  /// Ends the request without a response of an upstream to forward.
  void EndWithError(final_response kind, const std::string& reason,
                    milliseconds retry_after);
  void RespondWithError(int status, const std::string& reason,
                        milliseconds retry_after);
  void RecordEnd(int status, const std::string& reason);

  relay_environment& environment_;
  client_request request_;  ///< Without the body.
  std::shared_ptr<const std::string> body_;
  memory_share held_;
  response_writer& response_;
  tables_snapshot tables_;
  gate_decision gate_;
  std::string request_id_;
  std::string service_name_;
  generation_shape generation_;
  crash_monitor crashes_;
  int urgency_ = 0;
  /// Cache of one engine of the pool, in tokens; 0 for a service without a
  /// model.
  int64_t cache_tokens_ = 0;
  double placement_draw_ = 0;
  /// Tokens taken from the workspace's quota.
  double acquired_tokens_ = 0;
  time_point deadline_{};
  /// How long the client will wait in all, as it has stated; 0 if not.
  milliseconds stated_time_{0};
  std::vector<std::string> tried_upstreams_;
  /// The attempt whose response goes to the client.
  attempt_ptr attempt_;
  /// Was sent because attempt_ is silent; its upstream has not begun to answer.
  attempt_ptr successor_;
  event_sequence events_;
  /// What began the stream; empty before its first event.
  std::optional<stream_origin> origin_;
  bool response_started_ = false;
  /// Any attempt so far may have executed the request.
  bool may_have_executed_ = false;
  bool execution_counted_ = false;
  bool ended_ = false;
  request_record record_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_REQUEST_H_

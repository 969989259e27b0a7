// What a request does while its upstream is silent: it sends a successor beside
// the attempt.
#include <algorithm>
#include <utility>

#include "skylarkcroft/relay/skylarkcroft_relay_request.h"

namespace skylarkcroft {

bool relay_request::IsEngineTimedOut(const attempt& sent, milliseconds silence,
                                     time_point now) const {
  const relay_parameters& parameters = environment_.parameters;
  const std::string& id = sent.placed.upstream.id;
  const engine_slowness slowness = environment_.balancer.SlownessOf(id);
  // A slow engine needs longer for the same step; a fast one is given as long
  // as the others.
  const double factor = std::max({1.0, slowness.prefill, slowness.tokens});
  const auto limit =
      std::chrono::duration<double, std::milli>(parameters.engine_silence) *
      factor;
  const auto limit_to_this_node = std::chrono::duration<double, std::milli>(
                                      parameters.engine_silence_to_this_node) *
                                  factor;
  const bool silent_to_this_node =
      silence > limit &&
      environment_.balancer.TimeSinceOwnByte(id, now) > limit;
  const bool silent_to_all =
      environment_.balancer.TimeSinceAnyByte(id, now) > limit;
  return silent_to_this_node && (silent_to_all || silence > limit_to_this_node);
}

int relay_request::attempts_in_flight() const {
  return (attempt_ != nullptr ? 1 : 0) + (successor_ != nullptr ? 1 : 0);
}

void relay_request::CheckUpstreamSilence(time_point now) {
  if (attempt_ == nullptr || attempt_->paused || !attempt_->exchange->sent()) {
    return;
  }
  const bool search_is_due =
      !attempt_->opens_successor && now >= attempt_->next_successor_search;
  const bool all_silent =
      IsUpstreamSilent(*attempt_, now) &&
      (successor_ == nullptr || IsUpstreamSilent(*successor_, now));
  if (search_is_due && all_silent && MayAddSuccessor(now)) {
    OpenSuccessor(now);
  }
}

bool relay_request::IsUpstreamSilent(const attempt& sent,
                                     time_point now) const {
  // While the client was too slow, nothing was read.
  const time_point silent_since =
      std::max(sent.last_byte_at, sent.reading_since);
  const milliseconds silence =
      std::chrono::duration_cast<milliseconds>(now - silent_since);
  if (cache_tokens_ > 0) {
    return IsEngineTimedOut(sent, silence, now);
  }
  const milliseconds limit(static_cast<milliseconds::rep>(
      environment_.parameters.service_silence_share *
      static_cast<double>(record_.time_given.count())));
  return silence > limit;
}

bool relay_request::MayAddSuccessor(time_point now) {
  attempt_->next_successor_search =
      now + environment_.parameters.silence_recheck;
  if (!MayRetryAfter(attempt_failure::kSilent,
                     record_.upstreams_used + attempts_in_flight(), now)) {
    record_.silence = "may_not_repeat";
    return false;
  }
  const quarantine_decision quarantine =
      crashes_.DecideForAttempt(*attempt_, now);
  if (quarantine != quarantine_decision::kAllowed) {
    record_.silence = ToString(quarantine);
    return false;
  }
  if (!environment_.retries.HasRetryLeft(service_name_,
                                         environment_.node_count(), now)) {
    record_.silence = "repeats_used_up";
    return false;
  }
  return true;
}

void relay_request::OpenSuccessor(time_point now) {
  const std::optional<placement> successor = ChooseUpstream(now);
  const bool is_other =
      successor.has_value() &&
      successor->upstream.id != attempt_->placed.upstream.id &&
      (successor_ == nullptr ||
       successor->upstream.id != successor_->placed.upstream.id);
  if (!is_other) {
    record_.silence = "no_other_upstream";
    return;
  }
  attempt_->opens_successor = true;
  environment_.connections.OpenIdle(
      successor->upstream.id, successor->upstream.address,
      [this, alive = std::weak_ptr<bool>(alive_),
       silent = std::weak_ptr<upstream_exchange>(attempt_->exchange),
       successor = *successor](connect_outcome outcome) {
        const bool still_waits = !alive.expired() && attempt_ != nullptr &&
                                 attempt_->exchange == silent.lock();
        if (still_waits) {
          OnSuccessorOpened(successor, outcome);
        }
      });
}

void relay_request::OnSuccessorOpened(const placement& successor,
                                      connect_outcome outcome) {
  const time_point now = environment_.clock();
  attempt_->opens_successor = false;
  if (outcome != connect_outcome::kAccepted) {
    record_.silence = "no_connection";
    return;
  }
  const bool all_silent =
      IsUpstreamSilent(*attempt_, now) &&
      (successor_ == nullptr || IsUpstreamSilent(*successor_, now));
  // The stream may have begun while the connection was opened.
  const bool wanted = MayServe(successor.upstream, now) &&
                      !IsEndUnconfirmed() && !attempt_->paused && all_silent &&
                      !environment_.balancer.IsLeaving(successor.upstream.id);
  if (!wanted || !MayAddSuccessor(now)) {
    return;
  }
  if (response_.HasClientLeft()) {
    CancelAttempts();
    RecordEnd(0, "client_gone");
    return;
  }
  environment_.retries.TryRetry(service_name_, environment_.node_count(), now);
  if (successor_ != nullptr) {
    // No more than two upstreams have the request at a time.
    DropOneOfTwoSilent(now);
  }
  const std::string& silent = attempt_->placed.upstream.id;
  environment_.balancer.RecordSilence(silent, now);
  environment_.connections.CloseIdleTo(silent);
  record_.silence = "successor_sent";
  successor_ = SendTo(successor);
}

void relay_request::DropOneOfTwoSilent(time_point now) {
  if (!attempt_->head.has_value()) {
    PromoteSuccessor();
    return;
  }
  environment_.balancer.RecordSilence(successor_->placed.upstream.id, now);
  DropSuccessor(attempt_failure::kSilent, now);
}

void relay_request::PromoteSuccessor() {
  RecordFailure(*attempt_, attempt_failure::kSilent, environment_.clock());
  CloseFailed(std::move(attempt_), attempt_failure::kSilent);
  Adopt(std::move(successor_));
  record_.silence = "replaced";
}

void relay_request::OnSuccessorEnd(exchange_result result) {
  std::optional<attempt_failure> failure = FailureOf(result);
  if (!failure.has_value()) {
    failure = FailureOfHead(*successor_);
  }
  // A response that may be forwarded has made it the attempt with its head.
  DropSuccessor(failure.value_or(attempt_failure::kMalformed),
                environment_.clock());
}

void relay_request::DropSuccessor(attempt_failure failure, time_point now) {
  RecordFailure(*successor_, failure, now);
  CloseFailed(std::move(successor_), failure);
  record_.silence = "successor_failed";
}

void relay_request::CancelSuccessor() {
  if (successor_ == nullptr) {
    return;
  }
  if (successor_->exchange->sent()) {
    ++record_.upstreams_used;
    may_have_executed_ = true;
  }
  Close(std::move(successor_), upstream_outcome::kInconclusive);
}

void relay_request::EndRace() {
  if (successor_ != nullptr) {
    CancelSuccessor();
    record_.silence = "resumed";
  }
}

}  // namespace skylarkcroft

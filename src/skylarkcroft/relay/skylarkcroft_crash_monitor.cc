#include "skylarkcroft/relay/skylarkcroft_crash_monitor.h"

#include <utility>

#include "skylarkcroft/placement/skylarkcroft_upstream_load.h"
#include "skylarkcroft/relay/skylarkcroft_upstream_response.h"

namespace skylarkcroft {

crash_monitor::crash_monitor(part_quarantine& parts,
                             request_quarantine& requests,
                             std::function<void()> on_changed)
    : parts_(parts), requests_(requests), on_changed_(std::move(on_changed)) {}

void crash_monitor::SetRequest(prompt_key prompt, request_key key) {
  prompt_ = std::move(prompt);
  key_ = key;
}

quarantine_verdict crash_monitor::Decide(time_point now) const {
  const quarantine_verdict of_parts = parts_.Decide(prompt_, now);
  return of_parts.decision == quarantine_decision::kAllowed
             ? requests_.Decide(key_, now)
             : of_parts;
}

quarantine_decision crash_monitor::DecideForAttempt(const relay_attempt& sent,
                                                    time_point now) const {
  // The quarantine of the request is what its trial is to end or to prolong.
  return (sent.is_trial ? parts_.Decide(prompt_, now) : Decide(now)).decision;
}

bool crash_monitor::RecordSending(time_point now) {
  const bool is_trial = requests_.RecordSending(key_, now);
  if (is_trial) {
    on_changed_();
  }
  return is_trial;
}

void crash_monitor::RecordSignOfLife(const std::string& upstream,
                                     time_point now) {
  if (parts_.HasUnconfirmedCrashes(now)) {
    parts_.RecordByte(UpstreamKey(upstream), now);
  }
  if (requests_.HasUnconfirmedCrashes(now)) {
    requests_.RecordByte(UpstreamKey(upstream), now);
  }
}

void crash_monitor::RecordWholeResponse(const relay_attempt& ended, int status,
                                        time_point now) {
  const bool has_output = !ended.is_stream || ended.first_output_at.has_value();
  if (IsSuccess(status) && has_output) {
    parts_.RecordSuccess(prompt_, now);
  }
  // An error neither shows that the upstream outlives the request nor that it
  // does not.
  if (status < kFirstServerError && !ImpliesNotExecuted(status)) {
    requests_.RecordSuccess(key_, now);
  }
  on_changed_();
}

void crash_monitor::RecordBrokenConnection(const relay_attempt& failed,
                                           time_point now) {
  const uint32_t upstream = UpstreamKey(failed.placed.upstream.id);
  const bool part_is_known = parts_.Decide(prompt_, now).decision ==
                             quarantine_decision::kPartQuarantined;
  if (part_is_known) {
    requests_.ExplainCrash(upstream, now);
  } else {
    requests_.RecordCrash(upstream, key_, failed.started_at, now);
  }
  if (!requests_.IsExplained(upstream, now)) {
    RecordCrashOfParts(failed, now);
  }
  on_changed_();
}

void crash_monitor::RecordCrashOfParts(const relay_attempt& failed,
                                       time_point now) {
  const time_point broken_at = failed.unconfirmed_end.has_value()
                                   ? failed.unconfirmed_end->ended_at
                                   : now;
  const bool is_late = failed.first_output_at.has_value() &&
                       broken_at - *failed.first_output_at > kFirstOutputWindow;
  if (is_late || prompt_.shared.empty()) {
    return;
  }
  parts_.RecordCrash({UpstreamKey(failed.placed.upstream.id), prompt_.request,
                      failed.head.has_value(), prompt_.shared},
                     now);
}

}  // namespace skylarkcroft

#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_CRASH_MONITOR_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_CRASH_MONITOR_H_

#include <functional>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/quarantine/skylarkcroft_part_quarantine.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_quarantine.h"
#include "skylarkcroft/relay/skylarkcroft_relay_attempt.h"

namespace skylarkcroft {

/// Records what one request's attempts show for the quarantines of prompt parts
/// and requests, and decides whether the request may be sent.
class crash_monitor {
 public:
  /// The quarantines must outlive the monitor. `on_changed` is called when one
  /// of them may have something to tell the peers.
  crash_monitor(part_quarantine& parts, request_quarantine& requests,
                std::function<void()> on_changed);

  /// Sets the request; to be called before all other functions.
  void SetRequest(prompt_key prompt, request_key key);

  [[nodiscard]] quarantine_verdict Decide(time_point now) const;
  /// Whether the request of the attempt may still be sent.
  [[nodiscard]] quarantine_decision DecideForAttempt(const relay_attempt& sent,
                                                     time_point now) const;

  /// Returns whether the attempt is the one that is allowed after a quarantine.
  bool RecordSending(time_point now);
  /// A byte has arrived from the upstream.
  void RecordSignOfLife(const std::string& upstream, time_point now);
  /// The attempt ended with a whole response of this status.
  void RecordWholeResponse(const relay_attempt& ended, int status,
                           time_point now);
  /// The connection broke under the attempt, and the upstream is not leaving.
  void RecordBrokenConnection(const relay_attempt& failed, time_point now);

  [[nodiscard]] const prompt_key& prompt() const { return prompt_; }

 private:
  /// Records a crash as evidence against the parts of the prompt.
  void RecordCrashOfParts(const relay_attempt& failed, time_point now);

  part_quarantine& parts_;
  request_quarantine& requests_;
  std::function<void()> on_changed_;
  prompt_key prompt_;
  request_key key_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_CRASH_MONITOR_H_

#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_METRICS_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_METRICS_H_

#include <string>
#include <string_view>

#include "skylarkcroft/metrics/skylarkcroft_metrics_registry.h"
#include "skylarkcroft/relay/skylarkcroft_attempt_record.h"
#include "skylarkcroft/relay/skylarkcroft_client_end.h"
#include "skylarkcroft/relay/skylarkcroft_memory_account.h"
#include "skylarkcroft/relay/skylarkcroft_request_record.h"

namespace skylarkcroft {

/// Metrics of a relay node.
class relay_metrics {
 public:
  relay_metrics();

  void RecordRequest(const request_record& record);
  void RecordFailedAttempt(const attempt_record& record);
  void RecordConnectionOpened();
  void RecordClientEnd(const client_end& end);
  void RecordStoreContact(const std::string& table, bool reachable);
  /// Counts a call to the store that keeps the replica of `table` current.
  void RecordStoreCall(const std::string& table, std::string_view reason);
  /// Counts a return of the store from an older copy.
  void RecordStoreRestored();
  /// Counts an upstream's announcement: "leaving" or "pause".
  void RecordAnnouncement(std::string_view what);
  /// Counts a noticeable change of an engine's estimated speed.
  void RecordSpeedChange();
  /// Counts the beginning or end of the limit on an upstream that has just
  /// started or returned.
  void RecordPaceChange(bool begun);
  /// Counts a peer report; `readable` is false if it could not be decoded.
  void RecordDatagram(bool readable);
  /// Counts a report of quotas sent before the end of the report period.
  void RecordEarlyQuotaReport();
  /// Counts a call to the store that reads or writes quarantines.
  void RecordArchiveCall(std::string_view outcome);
  /// Counts a change of the rollout plan that this node follows.
  void RecordRolloutPlan(const std::string& stage);
  /// Counts a log line that the rate limit suppressed.
  void RecordLogLineDropped();
  void SetClients(size_t clients);
  void SetHeldBytes(size_t bytes);
  /// Counts connections that were given up because memory is short.
  void RecordMemoryRelief(const memory_relief& relief);
  void SetQuarantines(size_t count);
  /// Counts a change of what is quarantined; `what` names it.
  void RecordQuarantineChange(const std::string& what);
  void SetQuarantinedRequests(size_t count);
  /// Counts a change of which requests are quarantined.
  void RecordRequestQuarantineChange(const std::string& what);
  [[nodiscard]] std::string Render() const {
    return registry_.RenderPrometheus();
  }

 private:
  metrics_registry registry_;
  counter& opened_connections_;
  counter& readable_datagrams_;
  counter& unreadable_datagrams_;
  counter& dropped_log_lines_;
  counter& speed_changes_;
  gauge& clients_;
  gauge& held_bytes_;
  gauge& quarantines_;
  gauge& quarantined_requests_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_METRICS_H_

#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_METRICS_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_METRICS_H_

#include <string>

#include "skylarkcroft/metrics/skylarkcroft_metrics_registry.h"
#include "skylarkcroft/relay/skylarkcroft_request_record.h"

namespace skylarkcroft {

/// Counters and latencies of a relay node.
class relay_metrics {
 public:
  relay_metrics();

  void NoteRequest(const request_record& record);
  void NoteConnectionOpened();
  void NoteStoreContact(const std::string& table, bool reachable);
  void NoteDatagram(bool readable);
  void NoteLogDropped();
  void SetClients(size_t clients);
  [[nodiscard]] std::string Render() const {
    return registry_.RenderPrometheus();
  }

 private:
  metrics_registry registry_;
  counter& connections_opened_;
  counter& datagrams_read_;
  counter& datagrams_unreadable_;
  counter& log_lines_left_out_;
  gauge& clients_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_METRICS_H_

#include "skylarkcroft/node/skylarkcroft_node_quarantine.h"

#include <optional>

#include "skylarkcroft/log/skylarkcroft_logger.h"
#include "skylarkcroft/metrics/skylarkcroft_metrics_registry.h"
#include "skylarkcroft/node/skylarkcroft_node_mesh.h"
#include "skylarkcroft/quarantine/skylarkcroft_quarantine_notice.h"

namespace skylarkcroft {
namespace {

constexpr const char* kTopic = "quarantine";
constexpr milliseconds kTickPeriod{100};
// Peers that missed a notice, and those that start, learn of quarantines after
// this time.
constexpr milliseconds kReportPeriod{500};

void SendToAll(node_mesh& mesh, const quarantine_notice& notice,
               const mesh_time& at) {
  for (const std::string& payload : EncodeNotice(notice)) {
    for (const auto& [name, other] : mesh.part().members().all()) {
      if (other.state == member_state::kRemoved) {
        continue;
      }
      mesh.part().SendDirect(name, kTopic, payload, at);
    }
  }
}

}  // namespace

node_quarantine::node_quarantine(logger& log, metrics_registry& metrics)
    : log_(log),
      metrics_(metrics),
      parts_(part_quarantine_parameters{},
             [this](const quarantine_event& event) { LogChange(event); }) {}

void node_quarantine::Join(node_mesh& mesh) {
  mesh.OnDirect(
      kTopic, [this](const std::string& /*from*/, const std::string& payload,
                     const mesh_time& at) {
        const std::optional<quarantine_notice> notice = DecodeNotice(payload);
        if (notice.has_value()) {
          parts_.OnNotice(*notice, at.now);
        }
      });
  mesh.OnTick([this, &mesh](const mesh_time& at) {
    const quarantine_notice news = parts_.TakeNotice();
    if (!news.empty()) {
      SendToAll(mesh, news, at);
    }
    if (at.now >= next_tick_) {
      next_tick_ = at.now + kTickPeriod;
      parts_.Tick(at.now);
    }
    if (at.now >= next_report_) {
      next_report_ = at.now + kReportPeriod;
      SendToAll(mesh, {{}, {}, {}, parts_.Report(at.now)}, at);
    }
  });
}

void node_quarantine::LogChange(const quarantine_event& event) {
  metrics_
      .Counter({"skylarkcroft_quarantine_changes_total",
                "Changes of what is quarantined, by kind.",
                {{"change", std::string(event.what)}}})
      .Increment();
  log_.Log({log_level::kWarn,
            "prompt parts " + std::string(event.what),
            "",
            "",
            "",
            "",
            {{"source", std::string(event.source)},
             {"part_keys", ToString(event.entry.parts)},
             {"remaining_ms", std::to_string(event.entry.remaining.count())},
             {"relapses", std::to_string(event.entry.relapses)}}});
}

}  // namespace skylarkcroft

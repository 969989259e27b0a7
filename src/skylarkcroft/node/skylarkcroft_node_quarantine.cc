#include "skylarkcroft/node/skylarkcroft_node_quarantine.h"

#include <optional>

#include "skylarkcroft/log/skylarkcroft_logger.h"
#include "skylarkcroft/metrics/skylarkcroft_metrics_registry.h"
#include "skylarkcroft/node/skylarkcroft_node_mesh.h"
#include "skylarkcroft/quarantine/skylarkcroft_quarantine_notice.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_notice.h"

namespace skylarkcroft {
namespace {

constexpr const char* kPartsTopic = "quarantine";
constexpr const char* kRequestsTopic = "request_quarantine";
constexpr milliseconds kTickPeriod{100};
// Peers that missed a notice, and those that start, learn of quarantines after
// this time.
constexpr milliseconds kReportPeriod{500};

void SendToAll(node_mesh& mesh, const char* topic,
               const std::vector<std::string>& payloads, const mesh_time& at) {
  for (const std::string& payload : payloads) {
    for (const auto& [name, other] : mesh.part().members().all()) {
      if (other.state == member_state::kRemoved) {
        continue;
      }
      mesh.part().SendDirect(name, topic, payload, at);
    }
  }
}

}  // namespace

node_quarantine::node_quarantine(logger& log, metrics_registry& metrics)
    : log_(log),
      metrics_(metrics),
      parts_(part_quarantine_parameters{},
             [this](const quarantine_event& event) { LogChange(event); }),
      requests_(request_quarantine_parameters{},
                [this](const request_quarantine_event& event) {
                  LogRequestChange(event);
                }) {}

void node_quarantine::Join(node_mesh& mesh) {
  mesh.OnDirect(
      kPartsTopic, [this](const std::string& /*from*/,
                          const std::string& payload, const mesh_time& at) {
        const std::optional<quarantine_notice> notice = DecodeNotice(payload);
        if (notice.has_value()) {
          parts_.OnNotice(*notice, at.now);
        }
      });
  mesh.OnDirect(kRequestsTopic, [this](const std::string& /*from*/,
                                       const std::string& payload,
                                       const mesh_time& at) {
    const std::optional<request_notice> notice = DecodeRequestNotice(payload);
    if (notice.has_value()) {
      requests_.OnNotice(*notice, at.now);
    }
  });
  mesh.OnTick([this, &mesh](const mesh_time& at) {
    TellNews(mesh, at);
    if (at.now >= next_tick_) {
      next_tick_ = at.now + kTickPeriod;
      parts_.Tick(at.now);
      requests_.Tick(at.now);
    }
    if (at.now >= next_report_) {
      next_report_ = at.now + kReportPeriod;
      Report(mesh, at);
    }
  });
}

void node_quarantine::TellNews(node_mesh& mesh, const mesh_time& at) {
  const quarantine_notice on_parts = parts_.TakeNotice();
  if (!on_parts.empty()) {
    SendToAll(mesh, kPartsTopic, EncodeNotice(on_parts), at);
  }
  const request_notice on_requests = requests_.TakeNotice();
  if (!on_requests.empty()) {
    SendToAll(mesh, kRequestsTopic, EncodeRequestNotice(on_requests), at);
  }
}

void node_quarantine::Report(node_mesh& mesh, const mesh_time& at) {
  quarantine_notice on_parts;
  on_parts.quarantined = parts_.Report(at.now);
  SendToAll(mesh, kPartsTopic, EncodeNotice(on_parts), at);
  request_notice on_requests;
  on_requests.quarantined = requests_.Report(at.now);
  SendToAll(mesh, kRequestsTopic, EncodeRequestNotice(on_requests), at);
}

void node_quarantine::CountChange(std::string_view what) {
  metrics_
      .Counter({"skylarkcroft_quarantine_changes_total",
                "Changes of what is quarantined, by kind.",
                {{"change", std::string(what)}}})
      .Increment();
}

void node_quarantine::LogChange(const quarantine_event& event) {
  CountChange(event.what);
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

void node_quarantine::LogRequestChange(const request_quarantine_event& event) {
  CountChange(event.what);
  log_.Log({log_level::kWarn,
            "request " + std::string(event.what),
            "",
            "",
            "",
            "",
            {{"source", std::string(event.source)},
             {"request_key", ToString({event.entry.request})},
             {"remaining_ms", std::to_string(event.entry.remaining.count())},
             {"relapses", std::to_string(event.entry.relapses)}}});
}

}  // namespace skylarkcroft

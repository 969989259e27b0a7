#include <sys/resource.h>
#include <unistd.h>

#include <charconv>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load/skylarkcroft_mesh_cluster.h"

/// Measures the mesh with its real message code in one process, on simulated
/// time: bytes, processor time and memory for each member, and the time until
/// all know. Prints one JSON object for each size.
///
/// Usage: mesh_measure SIZE [SIZE...]
namespace skylarkcroft::load {
namespace {

constexpr milliseconds kLimit{120000};
constexpr milliseconds kSteady{60000};
constexpr milliseconds kPublishPeriod{1000};
constexpr size_t kLimitsBytes = 60;
constexpr size_t kUpstreamsBytes = 60;
constexpr double kMsPerSecond = 1000;
constexpr double kPercent = 100;
/// Members whose records change within one second, in steady state.
constexpr size_t kChangesPerSecond = 10;

double ProcessorSeconds() {
  constexpr double kMicrosecond = 1e-6;
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
         static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) *
             kMicrosecond;
}

double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  double pages = 0;
  double resident = 0;
  file >> pages >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

struct traffic {
  double sent = 0;
  double received = 0;
  double messages = 0;
};

traffic Total(mesh_cluster& nodes) {
  traffic total;
  for (size_t index = 0; index < nodes.size(); ++index) {
    const mesh_counts& counts = nodes.at(index).part->counts();
    total.sent += static_cast<double>(counts.bytes_sent);
    total.received += static_cast<double>(counts.bytes_received);
    total.messages += static_cast<double>(counts.messages_sent);
  }
  return total;
}

void PublishAll(mesh_cluster& nodes) {
  for (size_t index = 0; index < nodes.size(); ++index) {
    nodes.at(index).part->Publish("limits", std::string(kLimitsBytes, 'l'));
    nodes.at(index).part->Publish("upstreams",
                                  std::string(kUpstreamsBytes, 'u'));
  }
}

// Runs one size with `changes` changed records a second over all members.
void RunSteady(mesh_cluster& nodes, size_t changes) {
  size_t next = 0;
  const time_point end = nodes.time().now + kSteady;
  while (nodes.time().now < end) {
    for (size_t count = 0; count < changes; ++count) {
      std::string payload = std::to_string(nodes.time().wall_ms);
      payload.resize(kLimitsBytes, 'l');
      nodes.at(next++ % nodes.size()).part->Publish("limits", payload);
    }
    nodes.Run(kPublishPeriod);
  }
}

nlohmann::json Steady(mesh_cluster& nodes, size_t changes) {
  const traffic before = Total(nodes);
  const double processor = ProcessorSeconds();
  RunSteady(nodes, changes);
  const traffic after = Total(nodes);
  const double seconds = static_cast<double>(kSteady.count()) / kMsPerSecond;
  const double scale = seconds * static_cast<double>(nodes.size());
  return {{"changes_per_s", changes},
          {"bytes_sent_per_s", (after.sent - before.sent) / scale},
          {"bytes_received_per_s", (after.received - before.received) / scale},
          {"messages_per_s", (after.messages - before.messages) / scale},
          {"processor_percent",
           (ProcessorSeconds() - processor) / scale * kPercent}};
}

int64_t UntilAllKnowRevision(mesh_cluster& nodes) {
  nodes.at(0).revision = nodes.at(0).revision + 1;
  nodes.at(0).part->RequestEarlyRound();
  const int64_t wanted = nodes.at(0).revision;
  return nodes
      .RunUntil(
          [&] {
            for (size_t index = 0; index < nodes.size(); ++index) {
              if (nodes.at(index).revision != wanted) {
                return false;
              }
            }
            return true;
          },
          kLimit)
      .count();
}

int64_t UntilAllHaveRecord(mesh_cluster& nodes) {
  nodes.at(0).part->Publish("drain", "all know this");
  return nodes
      .RunUntil(
          [&] {
            for (size_t index = 0; index < nodes.size(); ++index) {
              if (nodes.at(index).part->records().Find("node-0", "drain") ==
                  nullptr) {
                return false;
              }
            }
            return true;
          },
          kLimit)
      .count();
}

int64_t UntilRemoved(mesh_cluster& nodes) {
  const size_t last = nodes.size() - 1;
  nodes.Kill(last);
  return nodes
      .RunUntil(
          [&] {
            return nodes.CountState(mesh_cluster::NameOf(last),
                                    member_state::kRemoved) == last;
          },
          kLimit)
      .count();
}

nlohmann::json Measure(size_t size) {
  const double memory = ResidentBytes();
  memory_network_options network;
  network.max_delay = milliseconds(10);
  mesh_cluster nodes(size, network);
  const int64_t joined =
      nodes.RunUntil([&] { return nodes.AllKnowAll(); }, kLimit).count();
  PublishAll(nodes);
  nodes.Run(kSteady);
  nlohmann::json result = {{"members", size}, {"joined_ms", joined}};
  result["quiet"] = Steady(nodes, 0);
  result["busy"] = Steady(nodes, kChangesPerSecond);
  result["memory_bytes"] =
      (ResidentBytes() - memory) / static_cast<double>(size);
  result["revision_known_ms"] = UntilAllKnowRevision(nodes);
  result["record_known_ms"] = UntilAllHaveRecord(nodes);
  result["removed_ms"] = UntilRemoved(nodes);
  return result;
}

}  // namespace
}  // namespace skylarkcroft::load

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  for (const std::string& text : arguments) {
    size_t size = 0;
    std::from_chars(text.data(), text.data() + text.size(), size);
    if (size < 2) {
      std::cerr << "usage: mesh_measure SIZE [SIZE...], each at least 2\n";
      return 1;
    }
    std::cout << skylarkcroft::load::Measure(size).dump() << std::endl;
  }
  return 0;
}

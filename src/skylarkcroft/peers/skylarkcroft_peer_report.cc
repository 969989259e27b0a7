#include "skylarkcroft/peers/skylarkcroft_peer_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace skylarkcroft {
namespace {

using nlohmann::json;

constexpr int kFormat = 2;

// Outcomes are sent in steps of this part of one; memory in these many tokens.
constexpr double kOutcomeSteps = 16;
constexpr int64_t kMemoryStep = 64;

// Flat, and unread tokens only of the urgencies that have some: a report names
// dozens of upstreams and goes to every node.
json EncodeView(const peer_upstream_view& view) {
  json item =
      json::array({view.upstream, view.load.running,
                   (view.load.memory_tokens + kMemoryStep - 1) / kMemoryStep,
                   static_cast<int64_t>(kOutcomeSteps * view.outcomes.good),
                   static_cast<int64_t>(kOutcomeSteps * view.outcomes.bad)});
  for (size_t i = 0; i < view.load.unread_tokens.size(); ++i) {
    if (view.load.unread_tokens[i] > 0) {
      item.push_back(i);
      item.push_back(view.load.unread_tokens[i]);
    }
  }
  return item;
}

peer_upstream_view DecodeView(const json& item) {
  constexpr size_t kFixed = 5;
  peer_upstream_view view;
  view.upstream = item.at(0).get<uint32_t>();
  view.load.running = item.at(1).get<int>();
  view.load.memory_tokens = kMemoryStep * item.at(2).get<int64_t>();
  view.outcomes = {item.at(3).get<double>() / kOutcomeSteps,
                   item.at(4).get<double>() / kOutcomeSteps};
  for (size_t i = kFixed; i + 1 < item.size(); i += 2) {
    view.load.unread_tokens.at(item.at(i).get<size_t>()) =
        item.at(i + 1).get<int64_t>();
  }
  return view;
}

json EncodePosition(const std::optional<table_position>& position) {
  if (!position.has_value()) {
    return json::array();
  }
  return json::array({position->newest_change, position->store_clock.count()});
}

std::optional<table_position> DecodePosition(const json& item) {
  if (item.empty()) {
    return std::nullopt;
  }
  return table_position{item.at(0).get<int64_t>(),
                        milliseconds(item.at(1).get<int64_t>())};
}

peer_report DecodeMembers(const json& items) {
  peer_report report;
  report.node = items.at(1).get<std::string>();
  report.incarnation = items.at(2).get<int64_t>();
  report.sequence = items.at(3).get<int64_t>();
  report.wall_ms = items.at(4).get<int64_t>();
  report.leaving = items.at(5).get<bool>();
  for (const json& item : items.at(6)) {
    report.upstreams.push_back(DecodeView(item));
  }
  for (const json& item : items.at(7)) {
    report.allotments.push_back({item.at(0).get<std::string>(),
                                 item.at(1).get<double>(),
                                 item.at(2).get<double>()});
  }
  for (const json& item : items.at(8)) {
    report.usage.push_back({item.at(0).get<int64_t>(),
                            item.at(1).get<std::string>(),
                            item.at(2).get<int64_t>()});
  }
  report.tables_position = DecodePosition(items.at(9));
  report.upstreams_position = DecodePosition(items.at(10));
  return report;
}

}  // namespace

milliseconds ReportPeriod(size_t nodes) {
  // Far below the time for which an engine works on a request, and a wake-up
  // rate that is cheap.
  constexpr milliseconds kShortest{100};
  // A report of one KB to every node then takes 200 KB a second at any size.
  constexpr milliseconds kEachNode{5};
  return std::max(kShortest, kEachNode * static_cast<milliseconds::rep>(nodes));
}

std::string EncodeReport(const peer_report& report) {
  json upstreams = json::array();
  for (const peer_upstream_view& view : report.upstreams) {
    upstreams.push_back(EncodeView(view));
  }
  json allotments = json::array();
  for (const allotment_report& one : report.allotments) {
    allotments.push_back(
        json::array({one.workspace, static_cast<int64_t>(one.taken),
                     static_cast<int64_t>(one.level)}));
  }
  json usage = json::array();
  for (const usage_count& one : report.usage) {
    usage.push_back(json::array({one.window, one.workspace, one.begun}));
  }
  const json items =
      json::array({kFormat, report.node, report.incarnation, report.sequence,
                   report.wall_ms, report.leaving, upstreams, allotments, usage,
                   EncodePosition(report.tables_position),
                   EncodePosition(report.upstreams_position)});
  const std::vector<uint8_t> bytes = json::to_cbor(items);
  return {bytes.begin(), bytes.end()};
}

std::optional<peer_report> DecodeReport(std::string_view bytes) {
  const json items = json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (!items.is_array() || items.empty() || items.front() != kFormat) {
    return std::nullopt;
  }
  try {
    return DecodeMembers(items);
  } catch (const json::exception&) {
    // Not a report of this program; the caller counts it.
    return std::nullopt;
  } catch (const std::out_of_range&) {
    return std::nullopt;
  }
}

}  // namespace skylarkcroft

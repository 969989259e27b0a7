#include "skylarkcroft/peers/skylarkcroft_peer_report.h"

#include <nlohmann/json.hpp>

namespace skylarkcroft {
namespace {

using nlohmann::json;

constexpr int kFormat = 1;

json EncodeView(const peer_upstream_view& view) {
  return json::array({view.upstream, view.load.running,
                      view.load.unread_tokens, view.load.memory_tokens,
                      view.outcomes.good, view.outcomes.bad});
}

peer_upstream_view DecodeView(const json& item) {
  peer_upstream_view view;
  view.upstream = item.at(0).get<std::string>();
  view.load.running = item.at(1).get<int>();
  view.load.unread_tokens =
      item.at(2).get<std::array<int64_t, kUrgencies>>();
  view.load.memory_tokens = item.at(3).get<int64_t>();
  view.outcomes = {item.at(4).get<double>(), item.at(5).get<double>()};
  return view;
}

peer_report DecodeMembers(const json& items) {
  peer_report report;
  report.node = items.at(1).get<std::string>();
  report.incarnation = items.at(2).get<int64_t>();
  report.sequence = items.at(3).get<int64_t>();
  report.wall_ms = items.at(4).get<int64_t>();
  report.leaving = items.at(5).get<bool>();
  report.wants_reply = items.at(6).get<bool>();
  for (const json& item : items.at(7)) {
    report.upstreams.push_back(DecodeView(item));
  }
  for (const json& item : items.at(8)) {
    report.allotments.push_back({item.at(0).get<std::string>(),
                                 item.at(1).get<double>(),
                                 item.at(2).get<double>()});
  }
  for (const json& item : items.at(9)) {
    report.usage.push_back({item.at(0).get<int64_t>(),
                            item.at(1).get<std::string>(),
                            item.at(2).get<int64_t>()});
  }
  return report;
}

}  // namespace

std::string EncodeReport(const peer_report& report) {
  json upstreams = json::array();
  for (const peer_upstream_view& view : report.upstreams) {
    upstreams.push_back(EncodeView(view));
  }
  json allotments = json::array();
  for (const allotment_report& one : report.allotments) {
    allotments.push_back(json::array({one.workspace, one.taken, one.level}));
  }
  json usage = json::array();
  for (const usage_count& one : report.usage) {
    usage.push_back(json::array({one.window, one.workspace, one.begun}));
  }
  const json items = json::array(
      {kFormat, report.node, report.incarnation, report.sequence,
       report.wall_ms, report.leaving, report.wants_reply, upstreams,
       allotments, usage});
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
  }
}

}  // namespace skylarkcroft

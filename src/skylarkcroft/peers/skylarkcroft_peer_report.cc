#include "skylarkcroft/peers/skylarkcroft_peer_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace skylarkcroft {
namespace {

using nlohmann::json;

constexpr int kFormat = 4;

// Outcomes are sent in steps of this part of one; memory in these many tokens;
// quiet times in these steps.
constexpr double kOutcomeSteps = 16;
constexpr int64_t kMemoryStep = 64;
constexpr milliseconds kQuietStep{50};

// Below the payload of a packet on any usual network.
constexpr size_t kLargestDatagram = 1200;
constexpr size_t kMostParts = 64;
// Upper bounds of the encoded sizes, beside names.
constexpr size_t kHeadBytes = 80;
constexpr size_t kViewBytes = 26;
constexpr size_t kAllotmentBytes = 16;
constexpr size_t kUsageBytes = 7;

// Flat, and unread tokens only of the urgencies that have some: a report names
// dozens of upstreams and goes to every node.
json EncodeView(const peer_upstream_view& view) {
  json item =
      json::array({view.upstream, view.load.running,
                   (view.load.memory_tokens + kMemoryStep - 1) / kMemoryStep,
                   static_cast<int64_t>(kOutcomeSteps * view.outcomes.good),
                   static_cast<int64_t>(kOutcomeSteps * view.outcomes.bad),
                   view.quiet / kQuietStep});
  for (size_t i = 0; i < view.load.unread_tokens.size(); ++i) {
    if (view.load.unread_tokens[i] > 0) {
      item.push_back(i);
      item.push_back(view.load.unread_tokens[i]);
    }
  }
  return item;
}

peer_upstream_view DecodeView(const json& item) {
  constexpr size_t kFixed = 6;
  peer_upstream_view view;
  view.upstream = item.at(0).get<uint32_t>();
  view.load.running = item.at(1).get<int>();
  view.load.memory_tokens = kMemoryStep * item.at(2).get<int64_t>();
  view.outcomes = {item.at(3).get<double>() / kOutcomeSteps,
                   item.at(4).get<double>() / kOutcomeSteps};
  view.quiet = kQuietStep * item.at(5).get<milliseconds::rep>();
  for (size_t i = kFixed; i + 1 < item.size(); i += 2) {
    view.load.unread_tokens.at(item.at(i).get<size_t>()) =
        item.at(i + 1).get<int64_t>();
  }
  return view;
}

// An array for each window: its number, then names and counts in turn.
json EncodeUsage(const std::vector<usage_count>& usage) {
  json windows = json::array();
  for (const usage_count& one : usage) {
    if (windows.empty() || windows.back().front() != one.window) {
      windows.push_back(json::array({one.window}));
    }
    windows.back().push_back(one.workspace);
    windows.back().push_back(one.begun);
  }
  return windows;
}

std::vector<usage_count> DecodeUsage(const json& windows) {
  std::vector<usage_count> usage;
  for (const json& window : windows) {
    for (size_t i = 1; i + 1 < window.size(); i += 2) {
      usage.push_back({window.at(0).get<int64_t>(),
                       window.at(i).get<std::string>(),
                       window.at(i + 1).get<int64_t>()});
    }
  }
  return usage;
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
  report.usage = DecodeUsage(items.at(8));
  report.tables_position = DecodePosition(items.at(9));
  report.upstreams_position = DecodePosition(items.at(10));
  report.part = items.at(11).get<size_t>();
  report.parts = items.at(12).get<size_t>();
  if (report.part >= report.parts || report.parts > kMostParts) {
    throw std::out_of_range("part of a report");
  }
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

namespace {

std::string EncodePart(const peer_report& report) {
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
  const json items = json::array(
      {kFormat, report.node, report.incarnation, report.sequence,
       report.wall_ms, report.leaving, upstreams, allotments,
       EncodeUsage(report.usage), EncodePosition(report.tables_position),
       EncodePosition(report.upstreams_position), report.part, report.parts});
  const std::vector<uint8_t> bytes = json::to_cbor(items);
  return {bytes.begin(), bytes.end()};
}

// Divides a report so that each part stays below the largest datagram.
class report_divider {
 public:
  explicit report_divider(const peer_report& whole) : empty_(whole) {
    empty_.upstreams.clear();
    empty_.allotments.clear();
    empty_.usage.clear();
    Open();
    for (const allotment_report& one : whole.allotments) {
      bytes_ += kAllotmentBytes + one.workspace.size();
      parts_.back().allotments.push_back(one);
    }
    for (const usage_count& one : whole.usage) {
      Reserve(kUsageBytes + one.workspace.size());
      parts_.back().usage.push_back(one);
    }
    for (const peer_upstream_view& view : whole.upstreams) {
      Reserve(kViewBytes);
      parts_.back().upstreams.push_back(view);
    }
  }

  [[nodiscard]] std::vector<std::string> Encode() {
    std::vector<std::string> datagrams;
    for (size_t i = 0; i < parts_.size() && i < kMostParts; ++i) {
      parts_[i].part = i;
      parts_[i].parts = std::min(parts_.size(), kMostParts);
      parts_[i].sequence += static_cast<int64_t>(i);
      datagrams.push_back(EncodePart(parts_[i]));
    }
    return datagrams;
  }

 private:
  void Open() {
    parts_.push_back(empty_);
    bytes_ = kHeadBytes + empty_.node.size();
  }
  void Reserve(size_t bytes) {
    if (bytes_ + bytes > kLargestDatagram) {
      Open();
    }
    bytes_ += bytes;
  }

  peer_report empty_;
  std::vector<peer_report> parts_;
  size_t bytes_ = 0;
};

}  // namespace

std::vector<std::string> EncodeReport(const peer_report& report) {
  return report_divider(report).Encode();
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

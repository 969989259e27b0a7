#include "skylarkcroft/peers/skylarkcroft_peer_report.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

constexpr int kFormatVersion = 4;

// Resolution of the encoded values: outcomes in sixteenths, KV cache tokens and
// times since the last byte in these steps.
constexpr double kOutcomeStepsPerUnit = 16;
constexpr int64_t kKvCacheTokensStep = 64;
// Steps per doubling of an engine's slowness: 4.4 percent each.
constexpr double kSpeedStepsPerUnit = 16;
constexpr milliseconds kTimeSinceByteStep{50};

// Below the payload of a packet on any common network.
constexpr size_t kMaxDatagramBytes = 1200;
constexpr size_t kMaxParts = 64;
// Upper bounds of the encoded sizes, without names.
constexpr size_t kMaxHeaderBytes = 118;
constexpr size_t kMaxUpstreamBytes = 26;
constexpr size_t kMaxSpeedBytes = 12;
constexpr size_t kMaxUsageBytes = 7;

bool HasSpeed(const upstream_report& upstream) {
  return upstream.speed != speed_evidence{} || upstream.pace_credit != 0;
}

json EncodeSpeed(const upstream_report& upstream) {
  json item = json::array();
  for (const slowness_evidence& one :
       {upstream.speed.prefill, upstream.speed.tokens}) {
    item.push_back(
        static_cast<int64_t>(std::lround(kSpeedStepsPerUnit * one.Log())));
    item.push_back(static_cast<int64_t>(one.weight));
  }
  if (upstream.pace_credit != 0) {
    item.push_back(static_cast<int64_t>(std::lround(upstream.pace_credit)));
  }
  return item;
}

slowness_evidence DecodeSlowness(const json& item, size_t first) {
  // Of one node. Bounds what a damaged report does to the sum over all nodes.
  constexpr double kMaxLog = 3;
  constexpr double kMaxWeight = 40;
  const double log = std::clamp(
      item.at(first).get<double>() / kSpeedStepsPerUnit, -kMaxLog, kMaxLog);
  const double weight =
      std::clamp(item.at(first + 1).get<double>(), 0.0, kMaxWeight);
  return {log * weight, weight};
}

// Absent for upstreams that have not just started.
double DecodePaceCredit(const json& item) {
  constexpr size_t kPaceItem = 4;
  constexpr double kMaxCredit = 1000;
  return item.size() > kPaceItem ? std::clamp(item.at(kPaceItem).get<double>(),
                                              -kMaxCredit, kMaxCredit)
                                 : 0;
}

// A flat array; tokens not yet processed are listed only for urgencies that
// have some. Compact, since a report covers dozens of upstreams and goes to
// every node.
json EncodeUpstream(const upstream_report& upstream) {
  json item = json::array(
      {upstream.key, upstream.load.running,
       (upstream.load.kv_cache_tokens + kKvCacheTokensStep - 1) /
           kKvCacheTokensStep,
       static_cast<int64_t>(kOutcomeStepsPerUnit * upstream.outcomes.successes),
       static_cast<int64_t>(kOutcomeStepsPerUnit * upstream.outcomes.failures),
       upstream.time_since_byte / kTimeSinceByteStep});
  for (size_t i = 0; i < upstream.load.prefill_tokens.size(); ++i) {
    if (upstream.load.prefill_tokens[i] > 0) {
      item.push_back(i);
      item.push_back(upstream.load.prefill_tokens[i]);
    }
  }
  if (HasSpeed(upstream)) {
    item.push_back(EncodeSpeed(upstream));
  }
  return item;
}

upstream_report DecodeUpstream(const json& item) {
  constexpr size_t kFixedItems = 6;
  upstream_report upstream;
  upstream.key = item.at(0).get<uint32_t>();
  upstream.load.running = item.at(1).get<int>();
  upstream.load.kv_cache_tokens =
      kKvCacheTokensStep * item.at(2).get<int64_t>();
  upstream.outcomes = {item.at(3).get<double>() / kOutcomeStepsPerUnit,
                       item.at(4).get<double>() / kOutcomeStepsPerUnit};
  upstream.time_since_byte =
      kTimeSinceByteStep * item.at(5).get<milliseconds::rep>();
  for (size_t i = kFixedItems; i + 1 < item.size(); i += 2) {
    upstream.load.prefill_tokens.at(item.at(i).get<size_t>()) =
        item.at(i + 1).get<int64_t>();
  }
  if ((item.size() - kFixedItems) % 2 == 1) {
    upstream.speed = {DecodeSlowness(item.back(), 0),
                      DecodeSlowness(item.back(), 2)};
    upstream.pace_credit = DecodePaceCredit(item.back());
  }
  return upstream;
}

// One array per window: its number, then alternating workspaces and counts.
json EncodeUsage(const std::vector<usage_count>& usage) {
  json windows = json::array();
  for (const usage_count& count : usage) {
    if (windows.empty() || windows.back().front() != count.window) {
      windows.push_back(json::array({count.window}));
    }
    windows.back().push_back(count.workspace);
    windows.back().push_back(count.begun);
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
  json item =
      json::array({position->newest_change.version,
                   position->store_clock.count(), position->newest_change.era});
  if (position->digest.has_value()) {
    item.push_back(*position->digest);
  }
  return item;
}

std::optional<table_position> DecodePosition(const json& item) {
  if (item.empty()) {
    return std::nullopt;
  }
  // Absent in reports of versions that know no eras.
  constexpr size_t kEraItem = 2;
  const int64_t era =
      item.size() > kEraItem ? item.at(kEraItem).get<int64_t>() : 0;
  table_position position{{era, item.at(0).get<int64_t>()},
                          milliseconds(item.at(1).get<int64_t>())};
  // Absent in reports of versions that tell no digest.
  constexpr size_t kDigestItem = 3;
  if (item.size() > kDigestItem) {
    position.digest = item.at(kDigestItem).get<uint64_t>();
  }
  return position;
}

constexpr unsigned kReportsEarlyFlag = 1;
constexpr unsigned kIsEarlyFlag = 2;

json EncodeQuota(const quota_report& quota) {
  json item = json::array({quota.workspace, static_cast<int64_t>(quota.taken),
                           static_cast<int64_t>(quota.level)});
  if (quota.demand.has_value()) {
    item.push_back(static_cast<int64_t>(*quota.demand));
    item.push_back((quota.reports_early ? kReportsEarlyFlag : 0U) |
                   (quota.is_early ? kIsEarlyFlag : 0U));
  }
  return item;
}

quota_report DecodeQuota(const json& item) {
  quota_report quota{item.at(0).get<std::string>(), item.at(1).get<double>(),
                     item.at(2).get<double>()};
  // Absent in reports of versions that do not send the demand.
  constexpr size_t kFlagsItem = 4;
  if (item.size() > kFlagsItem) {
    const auto flags = item.at(kFlagsItem).get<unsigned>();
    quota.demand = item.at(3).get<double>();
    quota.reports_early = (flags & kReportsEarlyFlag) != 0;
    quota.is_early = (flags & kIsEarlyFlag) != 0;
  }
  return quota;
}

peer_report DecodeItems(const json& items) {
  peer_report report;
  report.node = items.at(1).get<std::string>();
  report.incarnation = items.at(2).get<int64_t>();
  report.sequence = items.at(3).get<int64_t>();
  report.wall_ms = items.at(4).get<int64_t>();
  report.is_draining = items.at(5).get<bool>();
  for (const json& item : items.at(6)) {
    report.upstreams.push_back(DecodeUpstream(item));
  }
  for (const json& item : items.at(7)) {
    report.quotas.push_back(DecodeQuota(item));
  }
  report.usage = DecodeUsage(items.at(8));
  report.tables_position = DecodePosition(items.at(9));
  report.upstreams_position = DecodePosition(items.at(10));
  report.part = items.at(11).get<size_t>();
  report.parts = items.at(12).get<size_t>();
  const bool is_part = report.part < report.parts && report.parts <= kMaxParts;
  const bool is_quotas_only =
      report.part == 0 && report.parts == kQuotasOnlyParts;
  if (!is_part && !is_quotas_only) {
    throw std::out_of_range("report part index is out of range");
  }
  return report;
}

}  // namespace

milliseconds ReportPeriod(size_t nodes) {
  // Far below the time that an engine takes for a request, and seldom enough
  // for the wake-ups to be cheap.
  constexpr milliseconds kMinPeriod{100};
  // A report of 1 KB to every node then takes 200 KB/s for any number of nodes.
  constexpr milliseconds kPeriodPerNode{5};
  return std::max(kMinPeriod,
                  kPeriodPerNode * static_cast<milliseconds::rep>(nodes));
}

namespace {

std::string EncodePart(const peer_report& report) {
  json upstreams = json::array();
  for (const upstream_report& upstream : report.upstreams) {
    upstreams.push_back(EncodeUpstream(upstream));
  }
  json quotas = json::array();
  for (const quota_report& quota : report.quotas) {
    quotas.push_back(EncodeQuota(quota));
  }
  const json items = json::array(
      {kFormatVersion, report.node, report.incarnation, report.sequence,
       report.wall_ms, report.is_draining, upstreams, quotas,
       EncodeUsage(report.usage), EncodePosition(report.tables_position),
       EncodePosition(report.upstreams_position), report.part, report.parts});
  const std::vector<uint8_t> bytes = json::to_cbor(items);
  return {bytes.begin(), bytes.end()};
}

// Splits a report into parts that each fit into kMaxDatagramBytes.
class report_splitter {
 public:
  explicit report_splitter(const peer_report& whole) : header_(whole) {
    header_.upstreams.clear();
    header_.quotas.clear();
    header_.usage.clear();
    StartPart();
    for (const quota_report& quota : whole.quotas) {
      bytes_ += json::to_cbor(EncodeQuota(quota)).size();
      parts_.back().quotas.push_back(quota);
    }
    for (const usage_count& count : whole.usage) {
      Reserve(kMaxUsageBytes + count.workspace.size());
      parts_.back().usage.push_back(count);
    }
    for (const upstream_report& upstream : whole.upstreams) {
      Reserve(kMaxUpstreamBytes + (HasSpeed(upstream) ? kMaxSpeedBytes : 0));
      parts_.back().upstreams.push_back(upstream);
    }
  }

  [[nodiscard]] std::vector<std::string> Encode() {
    std::vector<std::string> datagrams;
    for (size_t i = 0; i < parts_.size() && i < kMaxParts; ++i) {
      parts_[i].part = i;
      parts_[i].parts = std::min(parts_.size(), kMaxParts);
      parts_[i].sequence += static_cast<int64_t>(i);
      datagrams.push_back(EncodePart(parts_[i]));
    }
    return datagrams;
  }

 private:
  void StartPart() {
    parts_.push_back(header_);
    if (parts_.size() > 1) {
      // One comparison a report is enough.
      for (std::optional<table_position>* position :
           {&parts_.back().tables_position,
            &parts_.back().upstreams_position}) {
        if (position->has_value()) {
          (*position)->digest.reset();
        }
      }
    }
    bytes_ = kMaxHeaderBytes + header_.node.size();
  }
  void Reserve(size_t bytes) {
    if (bytes_ + bytes > kMaxDatagramBytes) {
      StartPart();
    }
    bytes_ += bytes;
  }

  peer_report header_;
  std::vector<peer_report> parts_;
  size_t bytes_ = 0;
};

}  // namespace

std::vector<std::string> EncodeReport(const peer_report& report) {
  if (report.parts == kQuotasOnlyParts) {
    return {EncodePart(report)};
  }
  return report_splitter(report).Encode();
}

std::optional<peer_report> DecodeReport(std::string_view bytes) {
  const json items = DecodeBoundedCbor(bytes);
  if (!items.is_array() || items.empty() || items.front() != kFormatVersion) {
    return std::nullopt;
  }
  try {
    return DecodeItems(items);
  } catch (const json::exception&) {
    // Not a report of this program. The caller counts it as malformed.
    return std::nullopt;
  } catch (const std::out_of_range&) {
    return std::nullopt;
  }
}

}  // namespace skylarkcroft

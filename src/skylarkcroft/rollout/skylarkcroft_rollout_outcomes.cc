#include "skylarkcroft/rollout/skylarkcroft_rollout_outcomes.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

// Tells reports from other datagrams between nodes.
constexpr const char* kFormatName = "rollout-report1";
// Below the payload of a packet on any common network.
constexpr size_t kMaxDatagramBytes = 1200;
constexpr double kFirstBucketMs = 4;
// Buckets per doubling of the duration.
constexpr double kBucketsPerOctave = 4;
// A peer that claims more is not believed, so that sums cannot overflow.
constexpr int64_t kMaxCount = int64_t{1} << 40;
constexpr int kLastStage = static_cast<int>(rollout_stage::kRolledBack);

int64_t DecodeCount(const json& item) {
  const auto count = item.get<int64_t>();
  if (count < 0 || count > kMaxCount) {
    throw std::out_of_range("count is out of range");
  }
  return count;
}

// Pairs of bucket and count, since most buckets are empty.
json Encode(const duration_counts& counts) {
  json items = json::array();
  for (size_t i = 0; i < duration_counts::kBuckets; ++i) {
    if (counts.at(i) != 0) {
      items.push_back(i);
      items.push_back(counts.at(i));
    }
  }
  return items;
}

duration_counts DecodeDurations(const json& items) {
  duration_counts counts;
  for (size_t i = 0; i + 1 < items.size(); i += 2) {
    // Throws std::out_of_range for an unknown bucket.
    counts.Add(static_cast<size_t>(DecodeCount(items.at(i))),
               DecodeCount(items.at(i + 1)));
  }
  return counts;
}

json Encode(const version_outcomes& outcomes) {
  return json::array({outcomes.sent, outcomes.ok, outcomes.failed,
                      outcomes.lost, Encode(outcomes.ended),
                      Encode(outcomes.running)});
}

version_outcomes DecodeOutcomes(const json& items) {
  return {DecodeCount(items.at(0)),     DecodeCount(items.at(1)),
          DecodeCount(items.at(2)),     DecodeCount(items.at(3)),
          DecodeDurations(items.at(4)), DecodeDurations(items.at(5))};
}

std::string EncodeOne(const rollout_report& report, const json& routes) {
  const std::vector<uint8_t> bytes = json::to_cbor(json::array(
      {kFormatName, report.order.service, report.order.target,
       report.order.period.count(), report.order.position.era,
       report.order.position.version, report.node, report.incarnation,
       report.sequence, report.fencing_token, report.plan_sequence,
       static_cast<int>(report.stage), report.running_at_old, routes}));
  return {bytes.begin(), bytes.end()};
}

rollout_report DecodeItems(const json& items) {
  rollout_report report;
  report.order.service = items.at(1).get<std::string>();
  report.order.target = items.at(2).get<std::string>();
  report.order.period = milliseconds(items.at(3).get<int64_t>());
  report.order.position = {items.at(4).get<int64_t>(),
                           items.at(5).get<int64_t>()};
  report.node = items.at(6).get<std::string>();
  report.incarnation = items.at(7).get<int64_t>();
  report.sequence = DecodeCount(items.at(8));
  report.fencing_token = items.at(9).get<int64_t>();
  report.plan_sequence = items.at(10).get<int64_t>();
  const auto stage = items.at(11).get<int>();
  if (stage < 0 || stage > kLastStage) {
    throw std::out_of_range("stage is out of range");
  }
  report.stage = static_cast<rollout_stage>(stage);
  report.running_at_old = DecodeCount(items.at(12));
  for (const json& item : items.at(13)) {
    report.routes[item.at(0).get<std::string>()] = {DecodeOutcomes(item.at(1)),
                                                    DecodeOutcomes(item.at(2))};
  }
  return report;
}

}  // namespace

size_t duration_counts::BucketOf(milliseconds duration) {
  const double ms = static_cast<double>(duration.count());
  if (ms <= kFirstBucketMs) {
    return 0;
  }
  const double bucket =
      std::floor(kBucketsPerOctave * std::log2(ms / kFirstBucketMs));
  return std::min(static_cast<size_t>(bucket), kBuckets - 1);
}

milliseconds duration_counts::UpperBound(size_t bucket) {
  const double octaves = static_cast<double>(bucket + 1) / kBucketsPerOctave;
  return milliseconds(static_cast<milliseconds::rep>(
      std::ceil(kFirstBucketMs * std::exp2(octaves))));
}

void duration_counts::Add(const duration_counts& other, int64_t sign) {
  for (size_t i = 0; i < kBuckets; ++i) {
    counts_[i] += sign * other.counts_[i];
  }
}

int64_t duration_counts::Total() const { return AtLeast(0); }

int64_t duration_counts::AtLeast(size_t bucket) const {
  int64_t sum = 0;
  for (size_t i = bucket; i < kBuckets; ++i) {
    sum += counts_[i];
  }
  return sum;
}

size_t duration_counts::Quantile(double quantile) const {
  const double wanted = quantile * static_cast<double>(Total());
  int64_t sum = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    sum += counts_[i];
    if (sum > 0 && static_cast<double>(sum) >= wanted) {
      return i;
    }
  }
  return 0;
}

void version_outcomes::Add(const version_outcomes& other, int64_t sign) {
  sent += sign * other.sent;
  ok += sign * other.ok;
  failed += sign * other.failed;
  lost += sign * other.lost;
  ended.Add(other.ended, sign);
  running.Add(other.running, sign);
}

void route_outcomes::Add(const route_outcomes& other, int64_t sign) {
  old_version.Add(other.old_version, sign);
  new_version.Add(other.new_version, sign);
}

std::vector<std::string> EncodeRolloutReport(const rollout_report& report) {
  std::vector<std::string> datagrams;
  json routes = json::array();
  std::string encoded = EncodeOne(report, routes);
  for (const auto& [route, outcomes] : report.routes) {
    const json item = json::array(
        {route, Encode(outcomes.old_version), Encode(outcomes.new_version)});
    routes.push_back(item);
    std::string longer = EncodeOne(report, routes);
    if (longer.size() > kMaxDatagramBytes && routes.size() > 1) {
      datagrams.push_back(encoded);
      routes = json::array({item});
      longer = EncodeOne(report, routes);
    }
    encoded = std::move(longer);
  }
  datagrams.push_back(encoded);
  return datagrams;
}

std::optional<rollout_report> DecodeRolloutReport(std::string_view bytes) {
  const json items = DecodeBoundedCbor(bytes);
  if (!items.is_array() || items.empty() || items.front() != kFormatName) {
    return std::nullopt;
  }
  try {
    return DecodeItems(items);
  } catch (const json::exception&) {
    // Not written by this program. The caller counts it as malformed.
    return std::nullopt;
  } catch (const std::out_of_range&) {
    return std::nullopt;
  }
}

milliseconds RolloutReportPeriod(milliseconds usual, const rollout_plan& plan) {
  constexpr int kDrainFactor = 4;
  constexpr milliseconds kShortest{100};
  return plan.stage == rollout_stage::kDrain
             ? std::max(kShortest, usual / kDrainFactor)
             : usual;
}

void rollout_recorder::Start(const rollout_order& order) {
  if (order_.has_value() && IsSameOrder(*order_, order)) {
    return;
  }
  order_ = order;
  totals_.clear();
  for (auto& [id, request] : running_) {
    request.counted = false;
  }
}

version_outcomes& rollout_recorder::OutcomesOf(const running_request& request) {
  route_outcomes& outcomes = totals_[request.route];
  return IsTarget(request.version) ? outcomes.new_version
                                   : outcomes.old_version;
}

uint64_t rollout_recorder::OnSent(const std::string& route,
                                  const std::string& version, time_point now) {
  const std::string name = route.substr(0, kMaxRouteNameBytes);
  const bool is_kept =
      totals_.size() < kMaxRolloutRoutes || totals_.contains(name);
  const running_request request{is_kept ? name : std::string(kOtherRoutes),
                                version, now, order_.has_value()};
  if (request.counted) {
    ++OutcomesOf(request).sent;
  }
  running_.emplace(++last_id_, request);
  return last_id_;
}

void rollout_recorder::OnEnded(uint64_t id, rollout_request_end end,
                               time_point now) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  if (!found->second.counted) {
    running_.erase(found);
    return;
  }
  version_outcomes& outcomes = OutcomesOf(found->second);
  switch (end) {
    case rollout_request_end::kOk:
      ++outcomes.ok;
      outcomes.ended.Add(
          duration_counts::BucketOf(std::chrono::duration_cast<milliseconds>(
              now - found->second.sent_at)),
          1);
      break;
    case rollout_request_end::kFailed:
      ++outcomes.failed;
      break;
    case rollout_request_end::kLost:
      ++outcomes.lost;
      break;
    case rollout_request_end::kNoEvidence:
      break;
  }
  running_.erase(found);
}

rollout_totals rollout_recorder::Totals(time_point now) const {
  rollout_totals totals = totals_;
  for (const auto& [id, request] : running_) {
    if (!request.counted) {
      continue;
    }
    route_outcomes& outcomes = totals[request.route];
    version_outcomes& version =
        IsTarget(request.version) ? outcomes.new_version : outcomes.old_version;
    version.running.Add(
        duration_counts::BucketOf(
            std::chrono::duration_cast<milliseconds>(now - request.sent_at)),
        1);
  }
  return totals;
}

int64_t rollout_recorder::RunningAtOld() const {
  return std::count_if(
      running_.begin(), running_.end(),
      [this](const auto& item) { return !IsTarget(item.second.version); });
}

void rollout_tally::OnReport(const rollout_report& report, time_point now) {
  if (!IsSameOrder(report.order, order_)) {
    return;
  }
  rolled_back_ = rolled_back_ || report.stage == rollout_stage::kRolledBack;
  int64_t& incarnation = incarnations_[report.node];
  incarnation = std::max(incarnation, report.incarnation);
  process_state& process = processes_[{report.node, report.incarnation}];
  process.node = report.node;
  if (report.sequence > process.sequence) {
    process.sequence = report.sequence;
    process.fencing_token = report.fencing_token;
    process.plan_sequence = report.plan_sequence;
    process.running_at_old = report.running_at_old;
    process.heard_at = now;
  }
  for (const auto& [route, outcomes] : report.routes) {
    route_state& state = process.routes[route];
    if (report.sequence > state.sequence) {
      route_outcomes& total = totals_[route];
      total.Add(state.outcomes, -1);
      total.Add(outcomes, 1);
      state = {report.sequence, outcomes};
    }
  }
}

void rollout_tally::DropSilent(milliseconds max_silence, time_point now) {
  for (auto& [key, process] : processes_) {
    if (now - process.heard_at <= max_silence &&
        incarnations_[process.node] == key.second) {
      continue;
    }
    for (auto& [route, state] : process.routes) {
      route_outcomes running;
      running.old_version.running = state.outcomes.old_version.running;
      running.new_version.running = state.outcomes.new_version.running;
      totals_[route].Add(running, -1);
      state.outcomes.Add(running, -1);
    }
  }
}

bool rollout_tally::IsDrained(const rollout_plan& plan,
                              const std::vector<std::string>& nodes) const {
  return std::all_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
    return Follows(node, plan) && Find(node)->running_at_old == 0;
  });
}

bool rollout_tally::Follows(const std::string& node,
                            const rollout_plan& plan) const {
  const process_state* process = Find(node);
  return process != nullptr && process->fencing_token == plan.fencing_token &&
         process->plan_sequence >= plan.sequence;
}

const rollout_tally::process_state* rollout_tally::Find(
    const std::string& node) const {
  const auto incarnation = incarnations_.find(node);
  return incarnation == incarnations_.end()
             ? nullptr
             : &processes_.at({node, incarnation->second});
}

}  // namespace skylarkcroft

#include "skylarkcroft/placement/skylarkcroft_service_speeds.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace skylarkcroft {
namespace {

// An estimate with this weight is taken half way between the median engine and
// what was measured.
constexpr double kHalfCertainWeight = 8;
// Estimates this close to the median engine count as equal to it, so that
// engines of one kind are treated alike.
constexpr double kEqualLog = 0.2;
// Engines that are more than eight times as fast or slow are not of one kind of
// service; the bound limits what one wrong measurement does.
constexpr double kMaxLog = 3;
constexpr double kMaxSlope = 2;
// The slope by the engines' data sheets, and its weight against the measured
// variation. Measured alone it comes out too flat, since the load that a node
// knows is that of the latest reports.
constexpr double kExpectedSlope = 1;
constexpr double kExpectedSlopeWeight = 10;
constexpr milliseconds kHeldHalfLife{30000};
// Updates, one a second. The nodes that report an engine are those that use it
// at the moment, so that their evidence alone follows transient slowdowns.
constexpr size_t kMaxHistory = 15;
// A transient slowdown reaches the evidence of fewer updates than this.
constexpr size_t kMinHistory = 3;

double Median(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

double MedianTime(const std::vector<speed_sample>& samples, double slope) {
  std::vector<double> values;
  values.reserve(samples.size());
  for (const speed_sample& sample : samples) {
    values.push_back(sample.log_time - slope * sample.load);
  }
  return Median(std::move(values));
}

double MeanLoad(const std::vector<speed_sample>& samples) {
  double sum = 0;
  for (const speed_sample& sample : samples) {
    sum += sample.load;
  }
  return sum / static_cast<double>(samples.size());
}

}  // namespace

void service_speeds::Record(uint32_t engine, const speed_sample& sample,
                            time_point now) {
  engines_[engine].samples.Add(sample, now);
}

double service_speeds::Slope(const std::vector<measured_engine>& measured) {
  double load_variation = kExpectedSlopeWeight;
  double common_variation = kExpectedSlopeWeight * kExpectedSlope;
  for (const measured_engine& engine : measured) {
    const double load = MeanLoad(engine.samples);
    const double time = MedianTime(engine.samples, 0);
    for (const speed_sample& sample : engine.samples) {
      const double excess = std::clamp(sample.log_time - time, -1.0, 1.0);
      load_variation += (sample.load - load) * (sample.load - load);
      common_variation += (sample.load - load) * excess;
    }
  }
  return std::clamp(common_variation / load_variation, 0.0, kMaxSlope);
}

void service_speeds::UpdateOwn(time_point now) {
  std::vector<measured_engine> measured;
  for (auto& [key, engine] : engines_) {
    engine.own = {};
    std::vector<speed_sample> samples = engine.samples.Recent(now);
    if (!samples.empty()) {
      measured.push_back({&engine, std::move(samples)});
    }
  }
  if (measured.empty()) {
    return;
  }
  const double slope = Slope(measured);
  std::vector<double> times;
  std::vector<double> references;
  for (const measured_engine& engine : measured) {
    times.push_back(MedianTime(engine.samples, slope));
    // With what is known of the engines, since those that this node has used
    // may all be slow ones.
    references.push_back(times.back() - engine.state->combined.Log());
  }
  const double reference = Median(std::move(references));
  for (size_t i = 0; i < measured.size(); ++i) {
    const auto weight = static_cast<double>(measured[i].samples.size());
    measured[i].state->own = {
        weight * std::clamp(times[i] - reference, -kMaxLog, kMaxLog), weight};
  }
}

void service_speeds::Combine(const peer_evidence& peers, time_point now) {
  const double kept =
      std::exp2(-(std::chrono::duration<double>(now - updated_at_) /
                  std::chrono::duration<double>(kHeldHalfLife)));
  for (auto& [key, engine] : engines_) {
    slowness_evidence fresh = engine.own;
    fresh += peers(key);
    if (fresh.weight > 0) {
      engine.history.push_back(fresh.Log());
      if (engine.history.size() > kMaxHistory) {
        engine.history.pop_front();
      }
    }
    if (!engine.history.empty()) {
      const double weight =
          std::max(fresh.weight, kept * engine.combined.weight);
      engine.combined = {
          weight * Median({engine.history.begin(), engine.history.end()}),
          weight};
    }
  }
}

void service_speeds::Center() {
  std::vector<double> logs;
  for (const auto& [key, engine] : engines_) {
    if (engine.combined.weight >= kHalfCertainWeight) {
      logs.push_back(engine.combined.Log());
    }
  }
  const double median = logs.empty() ? 0 : Median(std::move(logs));
  for (auto& [key, engine] : engines_) {
    slowness_evidence& all = engine.combined;
    all.weighted_log -= median * all.weight;
    const double certain =
        all.Log() * all.weight / (all.weight + kHalfCertainWeight);
    const bool known =
        engine.history.size() >= kMinHistory && std::abs(certain) >= kEqualLog;
    engine.slowness =
        !known ? 1 : std::exp2(std::clamp(certain, -kMaxLog, kMaxLog));
  }
}

void service_speeds::Update(const std::vector<uint32_t>& engines,
                            const peer_evidence& peers, time_point now) {
  std::unordered_map<uint32_t, engine_state> kept;
  for (const uint32_t key : engines) {
    kept[key] = std::move(engines_[key]);
  }
  engines_ = std::move(kept);
  UpdateOwn(now);
  Combine(peers, now);
  Center();
  updated_at_ = now;
}

slowness_evidence service_speeds::Own(uint32_t engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? slowness_evidence{} : found->second.own;
}

slowness_evidence service_speeds::Combined(uint32_t engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? slowness_evidence{} : found->second.combined;
}

double service_speeds::Slowness(uint32_t engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? 1 : found->second.slowness;
}

}  // namespace skylarkcroft

#include "load/skylarkcroft_latency_histogram.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <utility>
#include <vector>

namespace skylarkcroft::load {
namespace {

namespace histogram = boost::histogram;

constexpr double kSmallestMs = 0.01;
constexpr double kLargestMs = 3'600'000.0;
constexpr double kBinRatio = 1.01;

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

unsigned BinCount() {
  return static_cast<unsigned>(
      std::ceil(std::log(kLargestMs / kSmallestMs) / std::log(kBinRatio)));
}

auto MakeCounts() {
  return histogram::make_histogram_with(
      std::vector<int64_t>(),
      log_axis(BinCount(), kSmallestMs, kLargestMs, "latency_ms"));
}

}  // namespace

struct latency_histogram::bins {
  decltype(MakeCounts()) counts = MakeCounts();
};

latency_histogram::latency_histogram() : bins_(std::make_unique<bins>()) {}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept =
    default;

void latency_histogram::Add(duration value) {
  const double ms = std::chrono::duration<double, std::milli>(value).count();
  bins_->counts(std::clamp(ms, kSmallestMs, kLargestMs));
  ++count_;
  sum_ms_ += ms;
  max_ms_ = std::max(max_ms_, ms);
}

double latency_histogram::QuantileMs(double part) const {
  const auto rank = std::max<int64_t>(
      1, static_cast<int64_t>(std::ceil(part * static_cast<double>(count_))));
  int64_t below = 0;
  for (const auto& bin :
       histogram::indexed(bins_->counts, histogram::coverage::all)) {
    below += *bin;
    if (count_ > 0 && below >= rank) {
      return std::min(bin.bin().upper(), max_ms_);
    }
  }
  return 0;
}

latency_summary latency_histogram::Summary() const {
  if (count_ == 0) {
    return {};
  }
  return {count_,           sum_ms_ / static_cast<double>(count_),
          QuantileMs(0.50), QuantileMs(0.95),
          QuantileMs(0.99), max_ms_};
}

}  // namespace skylarkcroft::load

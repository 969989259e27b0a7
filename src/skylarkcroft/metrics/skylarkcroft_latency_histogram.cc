#include "skylarkcroft/metrics/skylarkcroft_latency_histogram.h"

#include <algorithm>
#include <array>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <chrono>

namespace skylarkcroft {
namespace {

namespace bh = boost::histogram;

using std::chrono::microseconds;
using std::chrono::nanoseconds;

constexpr std::array<int64_t, 35> kBoundsUs = {
    500,      1000,     2000,      3000,      5000,      7500,      10000,
    15000,    20000,    30000,     50000,     75000,     100000,    150000,
    200000,   300000,   500000,    750000,    1000000,   1500000,   2000000,
    3000000,  5000000,  7500000,   10000000,  15000000,  20000000,  30000000,
    50000000, 75000000, 100000000, 150000000, 200000000, 300000000, 600000000};

nanoseconds Bound(size_t index) { return microseconds(kBoundsUs.at(index)); }

// Bins are open at their upper edge and Prometheus buckets are closed, so each
// edge lies one nanosecond above its bound.
std::vector<double> Edges() {
  std::vector<double> edges;
  edges.reserve(kBoundsUs.size());
  for (size_t index = 0; index < kBoundsUs.size(); ++index) {
    edges.push_back(static_cast<double>(Bound(index).count() + 1));
  }
  return edges;
}

auto MakeBins() {
  return bh::make_histogram_with(bh::dense_storage<uint64_t>(),
                                 bh::axis::variable<double>(Edges()));
}

}  // namespace

class latency_histogram::impl {
 public:
  impl() : bins_(MakeBins()) {}

  void Add(nanoseconds sample) { bins_(static_cast<double>(sample.count())); }

  // Samples at or below bound `index` and above the one before it. The first
  // bin of the library is the one below all edges, at -1.
  [[nodiscard]] uint64_t Count(size_t index) const {
    return bins_.at(static_cast<int>(index) - 1);
  }

 private:
  decltype(MakeBins()) bins_;
};

latency_histogram::latency_histogram() : impl_(std::make_unique<impl>()) {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::Record(duration sample) {
  const duration counted = std::max(sample, duration::zero());
  impl_->Add(std::chrono::duration_cast<nanoseconds>(counted));
  ++count_;
  sum_ += counted;
}

duration latency_histogram::Quantile(double q) const {
  if (count_ == 0) {
    return duration::zero();
  }
  const double wanted = std::clamp(q, 0.0, 1.0) * static_cast<double>(count_);
  double below = 0;
  nanoseconds lower{0};
  for (size_t index = 0; index < kBoundsUs.size(); ++index) {
    const nanoseconds upper = Bound(index);
    const auto inside = static_cast<double>(impl_->Count(index));
    if (inside > 0 && below + inside >= wanted) {
      const double share = (wanted - below) / inside;
      const double span = static_cast<double>((upper - lower).count());
      return lower + nanoseconds(static_cast<int64_t>(span * share));
    }
    below += inside;
    lower = upper;
  }
  return lower;
}

std::vector<latency_bucket> latency_histogram::Buckets() const {
  std::vector<latency_bucket> buckets;
  buckets.reserve(kBoundsUs.size());
  uint64_t total = 0;
  for (size_t index = 0; index < kBoundsUs.size(); ++index) {
    total += impl_->Count(index);
    buckets.push_back({Bound(index), total});
  }
  return buckets;
}

}  // namespace skylarkcroft

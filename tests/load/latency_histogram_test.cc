#include <catch2/catch.hpp>

#include "load/skylarkcroft_latency_histogram.h"

namespace skylarkcroft::load {
namespace {

TEST_CASE("quantiles lie within one bin of the exact ones", "[load]") {
  latency_histogram histogram;
  for (int ms = 1; ms <= 1000; ++ms) {
    histogram.Add(milliseconds(ms));
  }
  const latency_summary summary = histogram.Summary();
  CHECK(summary.count == 1000);
  CHECK(summary.mean_ms == Approx(500.5));
  CHECK(summary.p50_ms == Approx(500).epsilon(0.011));
  CHECK(summary.p95_ms == Approx(950).epsilon(0.011));
  CHECK(summary.p99_ms == Approx(990).epsilon(0.011));
  CHECK(summary.max_ms == Approx(1000));
}

TEST_CASE("a histogram without values is all zero", "[load]") {
  CHECK(latency_histogram().Summary() == latency_summary{});
}

TEST_CASE("values beyond the bins are kept at their ends", "[load]") {
  latency_histogram histogram;
  histogram.Add(duration(0));
  histogram.Add(std::chrono::hours(5));
  CHECK(histogram.Summary().count == 2);
  CHECK(histogram.QuantileMs(0.5) == Approx(0.01).epsilon(0.011));
  CHECK(histogram.Summary().p99_ms > 3'500'000);
}

}  // namespace
}  // namespace skylarkcroft::load

#include <catch2/catch.hpp>
#include <string>

#include "skylarkcroft/metrics/skylarkcroft_metrics_registry.h"

namespace skylarkcroft {
namespace {

using Catch::Matchers::Contains;
using std::chrono::nanoseconds;
using std::chrono::seconds;

TEST_CASE("a metric is found again under its name and labels in any order",
          "[metrics]") {
  metrics_registry registry;
  counter& first =
      registry.Counter({"refused_total", "Refused.", {{"a", "1"}, {"b", "2"}}});
  first.Increment();
  for (int other = 0; other < 1000; ++other) {
    registry.Counter(
        {"refused_total", "Refused.", {{"a", std::to_string(other)}}});
  }
  counter& again =
      registry.Counter({"refused_total", "Refused.", {{"b", "2"}, {"a", "1"}}});
  CHECK(&again == &first);
  CHECK(again.value() == 1);
}

TEST_CASE("a bad or clashing metric name is rejected", "[metrics]") {
  metrics_registry registry;
  registry.Counter({"used_total", "", {}});
  CHECK_THROWS_AS(registry.Gauge({"used_total", "", {}}), metric_error);
  CHECK_THROWS_AS(registry.Gauge({"", "", {}}), metric_error);
  CHECK_THROWS_AS(registry.Gauge({"1st", "", {}}), metric_error);
  CHECK_THROWS_AS(registry.Gauge({"x", "", {{"a-b", ""}}}), metric_error);
  CHECK_THROWS_AS(registry.Gauge({"x", "", {{"a", ""}, {"a", "1"}}}),
                  metric_error);
  CHECK(registry.RenderPrometheus() ==
        "# HELP used_total \n# TYPE used_total counter\nused_total 0\n");
}

TEST_CASE("help and type come once a family and text is escaped", "[metrics]") {
  metrics_registry registry;
  registry.Counter({"c_total", "A \"b\"\\\nc.", {{"k", "x\"\\\n"}}})
      .Increment();
  registry.Counter({"c_total", "other", {{"k", "y"}}}).Increment(2);
  registry.Gauge({"g", "G.", {}}).Set(-1.5);
  CHECK(registry.RenderPrometheus() ==
        "# HELP c_total A \"b\"\\\\\\nc.\n"
        "# TYPE c_total counter\n"
        "c_total{k=\"x\\\"\\\\\\n\"} 1\n"
        "c_total{k=\"y\"} 2\n"
        "# HELP g G.\n"
        "# TYPE g gauge\n"
        "g -1.5\n");
}

TEST_CASE("histogram buckets are cumulative and include their bound",
          "[metrics]") {
  metrics_registry registry;
  latency_histogram& latency =
      registry.LatencyHistogram({"wait_seconds", "Wait.", {{"rank", "0"}}});
  latency.Record(milliseconds(1));
  latency.Record(milliseconds(1) + nanoseconds(1));
  latency.Record(seconds(601));
  latency.Record(-seconds(1));
  const std::string text = registry.RenderPrometheus();
  CHECK_THAT(text, Contains("# TYPE wait_seconds histogram\n"));
  CHECK_THAT(text, Contains("_bucket{rank=\"0\",le=\"0.0005\"} 1\n"));
  CHECK_THAT(text, Contains("_bucket{rank=\"0\",le=\"0.001\"} 2\n"));
  CHECK_THAT(text, Contains("_bucket{rank=\"0\",le=\"0.002\"} 3\n"));
  CHECK_THAT(text, Contains("_bucket{rank=\"0\",le=\"600\"} 3\n"));
  CHECK_THAT(text, Contains("_bucket{rank=\"0\",le=\"+Inf\"} 4\n"));
  CHECK_THAT(text, Contains("wait_seconds_count{rank=\"0\"} 4\n"));
  CHECK(latency.sum() == seconds(601) + milliseconds(2) + nanoseconds(1));
}

TEST_CASE("a quantile lies within the bucket that holds it", "[metrics]") {
  latency_histogram latency;
  CHECK(latency.Quantile(0.5) == duration::zero());
  for (int sample = 0; sample < 90; ++sample) {
    latency.Record(milliseconds(4));
  }
  for (int sample = 0; sample < 10; ++sample) {
    latency.Record(milliseconds(600));
  }
  CHECK(latency.Quantile(0.5) > milliseconds(3));
  CHECK(latency.Quantile(0.5) <= milliseconds(5));
  CHECK(latency.Quantile(0.99) > milliseconds(500));
  CHECK(latency.Quantile(0.99) <= milliseconds(750));
  CHECK(latency.Quantile(1) == milliseconds(750));
}

}  // namespace
}  // namespace skylarkcroft

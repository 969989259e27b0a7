#ifndef SKYLARKCROFT_METRICS_SKYLARKCROFT_METRICS_REGISTRY_H_
#define SKYLARKCROFT_METRICS_SKYLARKCROFT_METRICS_REGISTRY_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/metrics/skylarkcroft_counter.h"
#include "skylarkcroft/metrics/skylarkcroft_gauge.h"
#include "skylarkcroft/metrics/skylarkcroft_latency_histogram.h"
#include "skylarkcroft/metrics/skylarkcroft_metric_name.h"

namespace skylarkcroft {

/// A metric or label name is not valid, or a name is used for two kinds of
/// metric.
class metric_error : public error {
 public:
  using error::error;
};

/// All metrics of a process. The first call with a name creates the metric and
/// later calls return the same one; the order of labels does not matter.
/// References stay valid as long as the registry lives, so callers look a
/// metric up once and keep it. Not safe for use from several threads.
class metrics_registry {
 public:
  metrics_registry() = default;
  metrics_registry(const metrics_registry&) = delete;
  metrics_registry& operator=(const metrics_registry&) = delete;

  /// Each throws metric_error when the name is not valid or is already used for
  /// another kind of metric.
  counter& Counter(const metric_name& name);
  gauge& Gauge(const metric_name& name);
  latency_histogram& LatencyHistogram(const metric_name& name);

  /// Every metric in the Prometheus text exposition format, version 0.0.4;
  /// latencies in seconds.
  [[nodiscard]] std::string RenderPrometheus() const;

 private:
  using metric = std::variant<counter, gauge, latency_histogram>;
  struct family {
    std::string help;
    std::map<std::vector<metric_label>, metric> members;
  };

  template <typename kind>
  kind& Find(const metric_name& name);

  std::map<std::string, family> families_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_METRICS_SKYLARKCROFT_METRICS_REGISTRY_H_

#ifndef SKYLARKCROFT_METRICS_SKYLARKCROFT_METRIC_NAME_H_
#define SKYLARKCROFT_METRICS_SKYLARKCROFT_METRIC_NAME_H_

#include <compare>
#include <string>
#include <vector>

namespace skylarkcroft {

/// One label of a metric. Values are escaped when they are rendered.
struct metric_label {
  std::string key;
  std::string value;

  auto operator<=>(const metric_label&) const = default;
};

/// Identity of a metric: a family name in Prometheus syntax, the help text of
/// the family, and the labels that tell its members apart.
struct metric_name {
  std::string name;
  std::string help;
  std::vector<metric_label> labels;

  auto operator<=>(const metric_name&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_METRICS_SKYLARKCROFT_METRIC_NAME_H_

#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_COMPARISON_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_COMPARISON_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "load/skylarkcroft_load_result.h"

namespace skylarkcroft::load {

/// One figure of one group in one result, beside the first result's.
struct compared_value {
  /// Nothing when the result has no such group.
  std::optional<double> value;
  /// Value over that of the first result; nothing when that is zero or missing.
  std::optional<double> ratio;

  bool operator==(const compared_value&) const = default;
};

/// One figure of one group over all results.
struct comparison_row {
  std::string group;
  std::string figure;
  std::vector<compared_value> values;

  bool operator==(const comparison_row&) const = default;
};

/// Results side by side; the first is the baseline of the ratios.
struct comparison {
  std::vector<std::string> labels;
  std::vector<comparison_row> rows;

  bool operator==(const comparison&) const = default;
};

comparison Compare(const std::vector<load_result>& results);
std::string ToText(const comparison& compared);
nlohmann::json ToJson(const comparison& compared);

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_COMPARISON_H_

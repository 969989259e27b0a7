#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_WATER_FILLING_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_WATER_FILLING_H_

#include <cstddef>
#include <limits>
#include <vector>

namespace skylarkcroft {

/// An upstream's costs for one request, in the scale of milliseconds.
struct placement_option {
  /// Estimated cost; based on peer reports that may be out of date.
  double cost = 0;
  /// What only this request saves at this upstream, such as a cached prompt.
  double saving = 0;
  /// Factor by which a request raises the cost of this upstream more than that
  /// of the median one.
  double slowness = 1;
  /// By how much the cost may rise through requests that are not reported yet.
  double room = std::numeric_limits<double>::infinity();

  bool operator==(const placement_option&) const = default;
};

/// Water-filling: returns the common cost to which the cheapest options rise
/// when `unreported_cost` is distributed over them. `unreported_cost` stands
/// for requests that peers have placed by this same rule but not yet reported,
/// at the median upstream's cost.
/// `options` must not be empty.
double WaterLevel(const std::vector<placement_option>& options,
                  double unreported_cost);

/// Returns the index of the option to use; `options` must not be empty. If
/// every node chose the cheapest option by the same outdated reports, they
/// would all overload it. Instead an option is drawn at random in proportion to
/// the requests that fit below the water level, unless savings make some option
/// cheaper than that level. `draw` is a random number, uniform in [0, 1).
size_t ChooseByWaterFilling(const std::vector<placement_option>& options,
                            double unreported_cost, double draw);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_WATER_FILLING_H_

#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SPREAD_CHOICE_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SPREAD_CHOICE_H_

#include <cstddef>
#include <vector>

namespace skylarkcroft {

/// One upstream as a choice sees it.
struct spread_option {
  double cost = 0;  ///< By figures of some age.
  /// What this request alone saves there.
  double saving = 0;

  bool operator==(const spread_option&) const = default;
};

/// The cost up to which the cheapest options are filled when `unseen_cost` is
/// added to them by requests that the figures do not show yet and whose senders
/// choose in the same way.
double FilledLevel(const std::vector<spread_option>& options,
                   double unseen_cost);

/// Chooses among `options`, which must not be empty. Many senders that use the
/// same old figures would all take the cheapest one and overload it; instead
/// each option is drawn in proportion to what it has left below the filled
/// level, unless this request saves more elsewhere. `draw` is uniform in [0,
/// 1).
size_t ChooseSpread(const std::vector<spread_option>& options,
                    double unseen_cost, double draw);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SPREAD_CHOICE_H_

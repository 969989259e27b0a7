#include "skylarkcroft/placement/skylarkcroft_water_filling.h"

#include <algorithm>

namespace skylarkcroft {

namespace {

// Widths below this are rounding errors of widths that cancel out.
constexpr double kMinWidth = 1e-9;

// What fits at the upstream below `level`, at the median upstream's cost.
double Headroom(const placement_option& option, double level) {
  return std::clamp(level - option.cost, 0.0, option.room) / option.slowness;
}

}  // namespace

double WaterLevel(const std::vector<placement_option>& options,
                  double unreported_cost) {
  // Costs from which on an option takes part, and up to which it does.
  struct edge {
    double cost = 0;
    double width = 0;
  };
  std::vector<edge> edges;
  edges.reserve(options.size());
  for (const placement_option& option : options) {
    edges.push_back({option.cost, 1 / option.slowness});
    if (option.room < std::numeric_limits<double>::infinity()) {
      edges.push_back({option.cost + option.room, -1 / option.slowness});
    }
  }
  std::sort(edges.begin(), edges.end(), [](const edge& one, const edge& other) {
    return one.cost < other.cost;
  });
  double remaining = unreported_cost;
  double level = edges.front().cost;
  double width = 0;
  for (const edge& next : edges) {
    const double headroom = width * (next.cost - level);
    if (headroom >= remaining && width > kMinWidth) {
      return level + remaining / width;
    }
    remaining -= headroom;
    level = next.cost;
    width += next.width;
  }
  return width > kMinWidth ? level + remaining / width : level;
}

size_t ChooseByWaterFilling(const std::vector<placement_option>& options,
                            double unreported_cost, double draw) {
  const double level = WaterLevel(options, unreported_cost);
  size_t best = 0;
  double best_cost = 0;
  double headroom = 0;
  for (size_t i = 0; i < options.size(); ++i) {
    const double cost = std::max(options[i].cost, level) - options[i].saving;
    if (i == 0 || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
    headroom += Headroom(options[i], level);
  }
  if (best_cost < level || headroom <= 0) {
    return best;
  }
  double remaining = draw * headroom;
  for (size_t i = 0; i < options.size(); ++i) {
    remaining -= Headroom(options[i], level);
    if (remaining < 0) {
      return i;
    }
  }
  return best;
}

}  // namespace skylarkcroft

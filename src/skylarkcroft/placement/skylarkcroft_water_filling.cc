#include "skylarkcroft/placement/skylarkcroft_water_filling.h"

#include <algorithm>

namespace skylarkcroft {

double WaterLevel(const std::vector<placement_option>& options,
                  double unreported_cost) {
  std::vector<double> costs;
  costs.reserve(options.size());
  for (const placement_option& option : options) {
    costs.push_back(option.cost);
  }
  std::sort(costs.begin(), costs.end());
  double remaining = unreported_cost;
  double level = costs.front();
  for (size_t filled = 1; filled < costs.size(); ++filled) {
    const double headroom =
        static_cast<double>(filled) * (costs[filled] - level);
    if (headroom >= remaining) {
      return level + remaining / static_cast<double>(filled);
    }
    remaining -= headroom;
    level = costs[filled];
  }
  return level + remaining / static_cast<double>(costs.size());
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
    headroom += std::max(0.0, level - options[i].cost);
  }
  if (best_cost < level || headroom <= 0) {
    return best;
  }
  double remaining = draw * headroom;
  for (size_t i = 0; i < options.size(); ++i) {
    remaining -= std::max(0.0, level - options[i].cost);
    if (remaining < 0) {
      return i;
    }
  }
  return best;
}

}  // namespace skylarkcroft

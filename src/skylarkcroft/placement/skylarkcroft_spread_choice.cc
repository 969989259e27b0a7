#include "skylarkcroft/placement/skylarkcroft_spread_choice.h"

#include <algorithm>

namespace skylarkcroft {

double FilledLevel(const std::vector<spread_option>& options,
                   double unseen_cost) {
  std::vector<double> costs;
  costs.reserve(options.size());
  for (const spread_option& option : options) {
    costs.push_back(option.cost);
  }
  std::sort(costs.begin(), costs.end());
  double left = unseen_cost;
  double level = costs.front();
  for (size_t filled = 1; filled < costs.size(); ++filled) {
    const double room = static_cast<double>(filled) * (costs[filled] - level);
    if (room >= left) {
      return level + left / static_cast<double>(filled);
    }
    left -= room;
    level = costs[filled];
  }
  return level + left / static_cast<double>(costs.size());
}

size_t ChooseSpread(const std::vector<spread_option>& options,
                    double unseen_cost, double draw) {
  const double level = FilledLevel(options, unseen_cost);
  size_t best = 0;
  double least = 0;
  double room = 0;
  for (size_t i = 0; i < options.size(); ++i) {
    const double cost = std::max(options[i].cost, level) - options[i].saving;
    if (i == 0 || cost < least) {
      best = i;
      least = cost;
    }
    room += std::max(0.0, level - options[i].cost);
  }
  if (least < level || room <= 0) {
    return best;
  }
  double left = draw * room;
  for (size_t i = 0; i < options.size(); ++i) {
    left -= std::max(0.0, level - options[i].cost);
    if (left < 0) {
      return i;
    }
  }
  return best;
}

}  // namespace skylarkcroft

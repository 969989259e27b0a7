#include "skylarkcroft/routing/skylarkcroft_recent_share.h"

#include <cmath>

namespace skylarkcroft {

double recent_share::ValueAt(const decayed_sum& sum, time_point now) const {
  const auto age = static_cast<double>(ElapsedMs(sum.at, now));
  return sum.tokens * std::exp(-age / static_cast<double>(decay_.count()));
}

void recent_share::NoteSent(const upstream_key& target, double tokens,
                            time_point now) {
  decayed_sum& sum = sums_[target];
  sum.tokens = ValueAt(sum, now) + tokens;
  sum.at = now;
}

double recent_share::TokensOn(const upstream_key& target,
                              time_point now) const {
  const auto found = sums_.find(target);
  return found == sums_.end() ? 0 : ValueAt(found->second, now);
}

}  // namespace skylarkcroft

#include "skylarkcroft/routing/skylarkcroft_recent_tokens.h"

#include <cmath>

namespace skylarkcroft {

double recent_tokens::ValueAt(const decaying_sum& sum, time_point now) const {
  const auto age = static_cast<double>(ElapsedMs(sum.updated_at, now));
  return sum.tokens * std::exp(-age / static_cast<double>(decay_.count()));
}

void recent_tokens::RecordSent(const upstream_key& target, double tokens,
                               time_point now) {
  decaying_sum& sum = sums_[target];
  sum.tokens = ValueAt(sum, now) + tokens;
  sum.updated_at = now;
}

double recent_tokens::TokensOn(const upstream_key& target,
                               time_point now) const {
  const auto found = sums_.find(target);
  return found == sums_.end() ? 0 : ValueAt(found->second, now);
}

}  // namespace skylarkcroft

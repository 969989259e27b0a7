#ifndef SKYLARKCROFT_ROUTING_SKYLARKCROFT_RECENT_SHARE_H_
#define SKYLARKCROFT_ROUTING_SKYLARKCROFT_RECENT_SHARE_H_

#include <map>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_key.h"

namespace skylarkcroft {

/// Tokens that this node sent to each upstream, weighted by an exponential
/// decay, so that balance is judged over a longer time than the requests that
/// happen to be under way.
class recent_share {
 public:
  /// `decay` is the time after which a token counts 1/e.
  explicit recent_share(milliseconds decay) : decay_(decay) {}

  void NoteSent(const upstream_key& target, double tokens, time_point now);
  /// Decayed tokens of `target` at `now`; 0 when nothing was sent there.
  [[nodiscard]] double TokensOn(const upstream_key& target,
                                time_point now) const;

 private:
  struct decayed_sum {
    double tokens = 0;
    time_point at{};
  };

  [[nodiscard]] double ValueAt(const decayed_sum& sum, time_point now) const;

  milliseconds decay_;
  std::map<upstream_key, decayed_sum> sums_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_RECENT_SHARE_H_

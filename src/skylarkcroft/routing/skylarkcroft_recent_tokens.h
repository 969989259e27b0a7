#ifndef SKYLARKCROFT_ROUTING_SKYLARKCROFT_RECENT_TOKENS_H_
#define SKYLARKCROFT_ROUTING_SKYLARKCROFT_RECENT_TOKENS_H_

#include <map>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_key.h"

namespace skylarkcroft {

/// Exponentially decaying sum of the tokens that this node sent to each
/// upstream, so that the balance between upstreams is judged over a longer time
/// than the requests currently in flight.
class recent_tokens {
 public:
  /// `decay` is the time after which a token's weight has fallen to 1/e.
  explicit recent_tokens(milliseconds decay) : decay_(decay) {}

  void RecordSent(const upstream_key& target, double tokens, time_point now);
  /// Decayed token sum of `target` at `now`; 0 when nothing was sent to it.
  [[nodiscard]] double TokensOn(const upstream_key& target,
                                time_point now) const;

 private:
  struct decaying_sum {
    double tokens = 0;
    time_point updated_at{};
  };

  [[nodiscard]] double ValueAt(const decaying_sum& sum, time_point now) const;

  milliseconds decay_;
  std::map<upstream_key, decaying_sum> sums_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_RECENT_TOKENS_H_

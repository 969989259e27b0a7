#ifndef SKYLARKCROFT_ROUTING_SKYLARKCROFT_UPSTREAM_CHOICE_H_
#define SKYLARKCROFT_ROUTING_SKYLARKCROFT_UPSTREAM_CHOICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"
#include "skylarkcroft/tables/skylarkcroft_rank.h"

namespace skylarkcroft {

/// What a choice of upstream depends on besides the upstreams.
struct choice_query {
  std::string pool;
  rank work_rank = rank::kNormal;
  std::string caller_name;
  /// Prompt text; empty for plain services.
  std::string prompt;
  int64_t expected_tokens = 0;
  /// Upstreams that earlier tries of this request failed on.
  std::vector<std::string> tried;
  /// Availability zone of the last failed try; empty for none.
  std::string avoid_zone;

  bool operator==(const choice_query&) const = default;
};

/// Name of the chosen upstream; empty when none takes requests. `members` are
/// the pool's upstreams.
using choose_fn = std::function<std::optional<std::string>(
    const choice_query& query, const std::vector<upstream_state>& members,
    time_point now)>;

/// Any upstream that takes requests, with equal chances; one not yet tried
/// where there is one.
choose_fn MakeRandomChoice(uint64_t seed);

/// The less loaded of two random upstreams that take requests.
choose_fn MakeLeastLoadedChoice(uint64_t seed);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_UPSTREAM_CHOICE_H_

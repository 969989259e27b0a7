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

/// The request that an upstream is to be chosen for.
struct choice_query {
  std::string pool;
  rank work_rank = rank::kNormal;
  std::string caller_name;
  /// Prompt text; empty for plain services.
  std::string prompt;
  int64_t expected_tokens = 0;
  /// Names of the upstreams of this request's earlier failed attempts.
  std::vector<std::string> attempted;
  /// Availability zone of the last failed attempt; empty for none.
  std::string avoid_zone;

  bool operator==(const choice_query&) const = default;
};

/// Returns the name of the chosen upstream; empty when none accepts requests.
/// `members` are the upstreams of the pool.
using choose_fn = std::function<std::optional<std::string>(
    const choice_query& query, const std::vector<upstream_state>& members,
    time_point now)>;

/// Chooses uniformly among the upstreams that accept requests; those already
/// attempted only when there are no others.
choose_fn MakeRandomChoice(uint64_t seed);

/// Chooses the less loaded of two random upstreams that accept requests; those
/// already attempted only when there are no others.
choose_fn MakeLeastLoadedChoice(uint64_t seed);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_UPSTREAM_CHOICE_H_

#include "skylarkcroft/routing/skylarkcroft_scored_choice.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

#include "skylarkcroft/routing/skylarkcroft_recent_tokens.h"

namespace skylarkcroft {
namespace {

struct candidate {
  const upstream_state* state = nullptr;
  double slots = 1;
  /// Estimated requests at the upstream per slot.
  double requests_per_slot = 0;
  /// Decaying sum of the tokens sent by this node, per slot.
  double recent_tokens_per_slot = 0;
  /// Prompt tokens estimated to be in the upstream's prefix cache.
  int64_t cached_tokens = 0;
  double score = 0;
};
using candidate_list = std::vector<candidate>;

// Estimates the requests at an upstream. The other nodes see the same load
// reports; each is assumed to have sent as many requests since the last report
// as this node.
double EstimatedRequests(const upstream_state& state, int64_t nodes) {
  const int64_t reported =
      state.report ? state.report->running + state.report->waiting : 0;
  return static_cast<double>(
      std::max(state.in_flight, reported + state.sent_since_report * nodes));
}

// Number of slots of `state` that count at `now`: a new upstream starts with a
// tenth of its slots and reaches all of them at the end of the slow start.
double EffectiveSlots(const upstream_state& state,
                      const scored_choice_parameters& parameters,
                      time_point now) {
  constexpr double kInitialFraction = 0.1;
  const auto slots =
      static_cast<double>(std::max<int64_t>(1, state.spec.slots));
  const double age =
      static_cast<double>(ElapsedMs(state.active_since, now)) /
      static_cast<double>(parameters.slow_start_duration.count());
  return std::max(1.0, slots * std::clamp(age, kInitialFraction, 1.0));
}

bool WasAttempted(const choice_query& query, const upstream_state& state) {
  return std::find(query.attempted.begin(), query.attempted.end(),
                   state.spec.name) != query.attempted.end();
}

candidate_list AvailableCandidates(const choice_query& query,
                                   const std::vector<upstream_state>& members,
                                   const scored_choice_parameters& parameters,
                                   int64_t nodes, time_point now) {
  candidate_list available;
  candidate_list unattempted;
  // Upstreams without a load report may be draining, so they are the last
  // choice.
  candidate_list unreported;
  for (const upstream_state& state : members) {
    if (!AcceptsRequests(state, now)) {
      continue;
    }
    const double slots = EffectiveSlots(state, parameters, now);
    const candidate option{
        &state, slots, EstimatedRequests(state, nodes) / slots, 0, 0, 0};
    if (AwaitsFirstReport(state, now)) {
      unreported.push_back(option);
      continue;
    }
    available.push_back(option);
    if (!WasAttempted(query, state)) {
      unattempted.push_back(option);
    }
  }
  if (!unattempted.empty()) {
    return unattempted;
  }
  return available.empty() ? unreported : available;
}

// Pointer to a member of `candidate` that holds a load per slot.
using candidate_metric = double candidate::*;

// Drops candidates whose `metric` exceeds `max_ratio` times the mean over all
// slots plus `slack`. The candidate with the lowest value always remains.
candidate_list DropOverloaded(candidate_list candidates,
                              candidate_metric metric, double max_ratio,
                              double slack) {
  double total = 0;
  double slots = 0;
  double lowest = std::numeric_limits<double>::max();
  for (const candidate& option : candidates) {
    total += option.*metric * option.slots;
    slots += option.slots;
    lowest = std::min(lowest, option.*metric);
  }
  const double limit = std::max(max_ratio * total / slots + slack, lowest);
  std::erase_if(candidates, [&](const candidate& option) {
    return option.*metric > limit;
  });
  return candidates;
}

// Drops candidates without a free slot, unless none has a free slot.
candidate_list WithFreeSlot(const candidate_list& candidates) {
  candidate_list free;
  for (const candidate& option : candidates) {
    if (option.requests_per_slot * option.slots + 1 <= option.slots) {
      free.push_back(option);
    }
  }
  return free.empty() ? candidates : free;
}

double MeanSlots(const candidate_list& candidates) {
  double slots = 0;
  for (const candidate& option : candidates) {
    slots += option.slots;
  }
  return slots / static_cast<double>(candidates.size());
}

double ExpectedWaitMs(const candidate& option,
                      const scored_choice_parameters& parameters) {
  if (option.requests_per_slot <= 1) {
    return option.requests_per_slot * parameters.full_batch_delay_ms;
  }
  return parameters.full_batch_delay_ms +
         (option.requests_per_slot - 1) * parameters.queued_request_ms;
}

// Rendezvous hash weight of the upstream `name` for the first block of a
// prompt.
uint64_t RendezvousWeight(uint64_t block_hash, const std::string& name) {
  constexpr uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  constexpr unsigned kShift = 32;
  uint64_t mixed = (block_hash ^ std::hash<std::string>{}(name)) * kMultiplier;
  mixed ^= mixed >> kShift;
  return mixed * kMultiplier;
}

class scored_choice {
 public:
  scored_choice(std::shared_ptr<prefix_tracker> prefixes,
                const scored_choice_parameters& parameters,
                node_count_fn live_nodes, uint64_t seed)
      : prefixes_(std::move(prefixes)),
        parameters_(parameters),
        live_nodes_(std::move(live_nodes)),
        recent_tokens_(parameters.recent_tokens_decay),
        random_(seed) {}

  std::optional<std::string> Choose(const choice_query& query,
                                    const std::vector<upstream_state>& members,
                                    time_point now) {
    const prompt_prefix prefix = HashPrompt(query.prompt);
    const auto tokens =
        static_cast<double>(1 + prefix.tokens + query.expected_tokens);
    candidate_list candidates =
        AvailableCandidates(query, members, parameters_, live_nodes_(), now);
    if (candidates.empty()) {
      return std::nullopt;
    }
    for (candidate& option : candidates) {
      const upstream_key key{query.pool, option.state->spec.name};
      option.recent_tokens_per_slot =
          recent_tokens_.TokensOn(key, now) / option.slots;
      option.cached_tokens = prefixes_->CachedTokens(key, prefix);
      option.score = Score(query, prefix, option, now);
    }
    candidates = ApplyBounds(std::move(candidates), tokens);
    const candidate* chosen = prefix.block_hashes.empty()
                                  ? BestOfTwoRandom(candidates)
                                  : BestForPrefix(candidates, prefix);
    const upstream_key key{query.pool, chosen->state->spec.name};
    prefixes_->RecordSent(key, prefix);
    recent_tokens_.RecordSent(key, tokens, now);
    return key.upstream;
  }

 private:
  candidate_list ApplyBounds(candidate_list candidates, double tokens) const {
    candidates = WithFreeSlot(candidates);
    candidates =
        DropOverloaded(std::move(candidates), &candidate::requests_per_slot,
                       parameters_.load_bound, parameters_.load_slack_slots);
    const double slack = parameters_.recent_tokens_slack_requests * tokens /
                         MeanSlots(candidates);
    return DropOverloaded(std::move(candidates),
                          &candidate::recent_tokens_per_slot,
                          parameters_.recent_tokens_bound, slack);
  }

  double Score(const choice_query& query, const prompt_prefix& prefix,
               const candidate& option, time_point now) const {
    const upstream& spec = option.state->spec;
    double score = ExpectedWaitMs(option, parameters_);
    score += static_cast<double>(prefix.tokens - option.cached_tokens) *
             parameters_.prefill_ms_per_token;
    score += spec.price_per_hour * parameters_.price_ms_per_unit;
    if (spec.reclaimable) {
      score += static_cast<double>(prefix.tokens + query.expected_tokens) *
               parameters_.reclaim_ms_per_token;
    }
    const std::optional<time_point>& refused = option.state->refused_at;
    if (refused && now - *refused < parameters_.refusal_penalty_duration) {
      score += parameters_.refusal_penalty_ms;
    }
    if (!query.avoid_zone.empty() &&
        spec.availability_zone == query.avoid_zone) {
      score += parameters_.failed_zone_penalty_ms;
    }
    return score;
  }

  const candidate* BestOfTwoRandom(const candidate_list& candidates) {
    std::uniform_int_distribution<size_t> index(0, candidates.size() - 1);
    const candidate* first = &candidates[index(random_)];
    const candidate* second = &candidates[index(random_)];
    return second->score < first->score ? second : first;
  }

  // Returns the candidate with the lowest score if it has the beginning of the
  // prompt cached; otherwise chooses by rendezvous hash.
  static const candidate* BestForPrefix(const candidate_list& candidates,
                                        const prompt_prefix& prefix) {
    const auto lowest =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const candidate& a, const candidate& b) {
                           return a.score < b.score;
                         });
    return lowest->cached_tokens > 0
               ? &*lowest
               : ChooseByHash(candidates, prefix, lowest->score);
  }

  // Among candidates with a score within kScoreToleranceMs of `lowest`, takes
  // the two with the highest rendezvous weight, which are the same on every
  // node, and returns the one with fewer recent tokens per slot.
  static const candidate* ChooseByHash(const candidate_list& candidates,
                                       const prompt_prefix& prefix,
                                       double lowest) {
    constexpr double kScoreToleranceMs = 20;
    const candidate* first = nullptr;
    const candidate* second = nullptr;
    uint64_t first_weight = 0;
    uint64_t second_weight = 0;
    for (const candidate& option : candidates) {
      if (option.score > lowest + kScoreToleranceMs) {
        continue;
      }
      const uint64_t weight = RendezvousWeight(prefix.block_hashes.front(),
                                               option.state->spec.name);
      if (first == nullptr || weight > first_weight) {
        second = std::exchange(first, &option);
        second_weight = std::exchange(first_weight, weight);
      } else if (second == nullptr || weight > second_weight) {
        second = &option;
        second_weight = weight;
      }
    }
    return second != nullptr && second->recent_tokens_per_slot <
                                    first->recent_tokens_per_slot
               ? second
               : first;
  }

  std::shared_ptr<prefix_tracker> prefixes_;
  scored_choice_parameters parameters_;
  node_count_fn live_nodes_;
  recent_tokens recent_tokens_;
  std::mt19937_64 random_;
};

}  // namespace

choose_fn MakeScoredChoice(std::shared_ptr<prefix_tracker> prefixes,
                           const scored_choice_parameters& parameters,
                           node_count_fn live_nodes, uint64_t seed) {
  auto choice = std::make_shared<scored_choice>(std::move(prefixes), parameters,
                                                std::move(live_nodes), seed);
  return [choice](const choice_query& query,
                  const std::vector<upstream_state>& members, time_point now) {
    return choice->Choose(query, members, now);
  };
}

}  // namespace skylarkcroft

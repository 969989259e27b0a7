#include "skylarkcroft/routing/skylarkcroft_scored_choice.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace skylarkcroft {
namespace {

struct candidate {
  const upstream_state* state = nullptr;
  double slots = 1;
  /// Requests for each slot.
  double load = 0;
  double score = 0;
};
using candidate_list = std::vector<candidate>;

double RequestsOn(const upstream_state& state) {
  const int64_t reported =
      state.report ? state.report->running + state.report->waiting : 0;
  return static_cast<double>(
      std::max(state.in_flight, reported + state.sent_since_report));
}

// Slots that count at `now`: a new upstream starts with a tenth of its own.
double OpenSlots(const upstream_state& state, const score_options& options,
                 time_point now) {
  constexpr double kFirstShare = 0.1;
  const auto slots =
      static_cast<double>(std::max<int64_t>(1, state.spec.slots));
  const double age = static_cast<double>(ElapsedMs(state.known_since, now)) /
                     static_cast<double>(options.slow_start.count());
  return std::max(1.0, slots * std::clamp(age, kFirstShare, 1.0));
}

bool WasTried(const choice_query& query, const upstream_state& state) {
  return std::find(query.tried.begin(), query.tried.end(), state.spec.name) !=
         query.tried.end();
}

candidate_list OpenCandidates(const choice_query& query,
                              const std::vector<upstream_state>& members,
                              const score_options& options, time_point now) {
  candidate_list open;
  candidate_list untried;
  for (const upstream_state& state : members) {
    if (!TakesRequests(state, now)) {
      continue;
    }
    const double slots = OpenSlots(state, options, now);
    const candidate one{&state, slots, RequestsOn(state) / slots, 0};
    open.push_back(one);
    if (!WasTried(query, state)) {
      untried.push_back(one);
    }
  }
  return untried.empty() ? open : untried;
}

// Drops those above the bound; the least loaded always stays. The slack keeps
// small numbers of requests from counting as imbalance.
candidate_list WithinBound(candidate_list candidates,
                           const score_options& options) {
  double total = 0;
  double slots = 0;
  for (const candidate& one : candidates) {
    total += one.load * one.slots;
    slots += one.slots;
  }
  const double mean = total / slots;
  const auto least = std::min_element(
      candidates.begin(), candidates.end(),
      [](const candidate& a, const candidate& b) { return a.load < b.load; });
  const double least_load = least->load;
  std::erase_if(candidates, [&](const candidate& one) {
    const double slack = options.load_slack_requests / one.slots;
    return one.load > std::max(options.load_bound * mean + slack, least_load);
  });
  return candidates;
}

double WaitMs(const candidate& one, const score_options& options) {
  if (one.load <= 1) {
    return one.load * options.full_batch_ms;
  }
  return options.full_batch_ms + (one.load - 1) * options.queued_request_ms;
}

// Rendezvous weight of an upstream for a prompt's first block.
uint64_t RendezvousWeight(uint64_t block_hash, const std::string& name) {
  constexpr uint64_t kMixer = 0x9e3779b97f4a7c15ULL;
  constexpr unsigned kShift = 32;
  uint64_t mixed = (block_hash ^ std::hash<std::string>{}(name)) * kMixer;
  mixed ^= mixed >> kShift;
  return mixed * kMixer;
}

class scored_choice {
 public:
  scored_choice(std::shared_ptr<prefix_tracker> prefixes,
                const score_options& options, uint64_t seed)
      : prefixes_(std::move(prefixes)), options_(options), random_(seed) {}

  std::optional<std::string> Choose(const choice_query& query,
                                    const std::vector<upstream_state>& members,
                                    time_point now) {
    candidate_list candidates = OpenCandidates(query, members, options_, now);
    if (candidates.empty()) {
      return std::nullopt;
    }
    candidates = WithinBound(std::move(candidates), options_);
    const prompt_prefix prefix = HashPrompt(query.prompt);
    for (candidate& one : candidates) {
      one.score = Score(query, prefix, one);
    }
    const candidate* chosen = prefix.block_hashes.empty()
                                  ? BetterOfTwo(candidates)
                                  : Best(candidates, prefix);
    prefixes_->NoteSent({query.pool, chosen->state->spec.name}, prefix);
    return chosen->state->spec.name;
  }

 private:
  double Score(const choice_query& query, const prompt_prefix& prefix,
               const candidate& one) const {
    const upstream& spec = one.state->spec;
    const int64_t cached =
        prefixes_->CachedTokens({query.pool, spec.name}, prefix);
    double score = WaitMs(one, options_);
    score += static_cast<double>(prefix.tokens - cached) *
             options_.prefill_ms_per_token;
    score += spec.price_per_hour * options_.price_ms;
    if (spec.reclaimable) {
      score += static_cast<double>(prefix.tokens + query.expected_tokens) *
               options_.reclaim_ms_per_token;
    }
    if (!query.avoid_zone.empty() &&
        spec.availability_zone == query.avoid_zone) {
      score += options_.failed_zone_ms;
    }
    return score;
  }

  const candidate* BetterOfTwo(const candidate_list& candidates) {
    std::uniform_int_distribution<size_t> index(0, candidates.size() - 1);
    const candidate* first = &candidates[index(random_)];
    const candidate* second = &candidates[index(random_)];
    return second->score < first->score ? second : first;
  }

  // The lowest score; where the scores are near each other, the one that every
  // node would take.
  const candidate* Best(const candidate_list& candidates,
                        const prompt_prefix& prefix) const {
    constexpr double kNearMs = 5;
    const auto lowest =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const candidate& a, const candidate& b) {
                           return a.score < b.score;
                         });
    const candidate* best = &*lowest;
    uint64_t best_weight = 0;
    for (const candidate& one : candidates) {
      if (one.score > lowest->score + kNearMs) {
        continue;
      }
      const uint64_t weight =
          RendezvousWeight(prefix.block_hashes.front(), one.state->spec.name);
      if (weight >= best_weight) {
        best_weight = weight;
        best = &one;
      }
    }
    return best;
  }

  std::shared_ptr<prefix_tracker> prefixes_;
  score_options options_;
  std::mt19937_64 random_;
};

}  // namespace

choose_fn MakeScoredChoice(std::shared_ptr<prefix_tracker> prefixes,
                           const score_options& options, uint64_t seed) {
  auto choice =
      std::make_shared<scored_choice>(std::move(prefixes), options, seed);
  return [choice](const choice_query& query,
                  const std::vector<upstream_state>& members, time_point now) {
    return choice->Choose(query, members, now);
  };
}

}  // namespace skylarkcroft

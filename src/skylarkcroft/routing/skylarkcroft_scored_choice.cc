#include "skylarkcroft/routing/skylarkcroft_scored_choice.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

#include "skylarkcroft/routing/skylarkcroft_recent_share.h"

namespace skylarkcroft {
namespace {

struct candidate {
  const upstream_state* state = nullptr;
  double slots = 1;
  /// Requests for each slot.
  double load = 0;
  /// Tokens sent lately for each slot.
  double share = 0;
  /// Tokens of the prompt that are believed to be cached.
  int64_t cached = 0;
  double score = 0;
};
using candidate_list = std::vector<candidate>;

// The other nodes see the same reports, and are taken to have sent as much
// since then as this one.
double RequestsOn(const upstream_state& state, int64_t nodes) {
  const int64_t reported =
      state.report ? state.report->running + state.report->waiting : 0;
  return static_cast<double>(
      std::max(state.in_flight, reported + state.sent_since_report * nodes));
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
                              const score_options& options, int64_t nodes,
                              time_point now) {
  candidate_list open;
  candidate_list untried;
  // May be leaving, so they come last.
  candidate_list unheard;
  for (const upstream_state& state : members) {
    if (!TakesRequests(state, now)) {
      continue;
    }
    const double slots = OpenSlots(state, options, now);
    const candidate one{&state, slots, RequestsOn(state, nodes) / slots,
                        0,      0,     0};
    if (AwaitsFirstReport(state, now)) {
      unheard.push_back(one);
      continue;
    }
    open.push_back(one);
    if (!WasTried(query, state)) {
      untried.push_back(one);
    }
  }
  if (!untried.empty()) {
    return untried;
  }
  return open.empty() ? unheard : open;
}

// A measure of how busy a candidate is, for each of its slots.
using busyness = double candidate::*;

// Drops those whose `measure` is above `bound` times the mean and `slack` more;
// the lowest always stays.
candidate_list WithinBound(candidate_list candidates, busyness measure,
                           double bound, double slack) {
  double total = 0;
  double slots = 0;
  double lowest = std::numeric_limits<double>::max();
  for (const candidate& one : candidates) {
    total += one.*measure * one.slots;
    slots += one.slots;
    lowest = std::min(lowest, one.*measure);
  }
  const double limit = std::max(bound * total / slots + slack, lowest);
  std::erase_if(candidates,
                [&](const candidate& one) { return one.*measure > limit; });
  return candidates;
}

// Drops those without a free slot, unless none has one.
candidate_list WithFreeSlot(const candidate_list& candidates) {
  candidate_list free;
  for (const candidate& one : candidates) {
    if (one.load * one.slots + 1 <= one.slots) {
      free.push_back(one);
    }
  }
  return free.empty() ? candidates : free;
}

double MeanSlots(const candidate_list& candidates) {
  double slots = 0;
  for (const candidate& one : candidates) {
    slots += one.slots;
  }
  return slots / static_cast<double>(candidates.size());
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
                const score_options& options, node_count_fn live_nodes,
                uint64_t seed)
      : prefixes_(std::move(prefixes)),
        options_(options),
        live_nodes_(std::move(live_nodes)),
        shares_(options.share_decay),
        random_(seed) {}

  std::optional<std::string> Choose(const choice_query& query,
                                    const std::vector<upstream_state>& members,
                                    time_point now) {
    const prompt_prefix prefix = HashPrompt(query.prompt);
    const auto tokens =
        static_cast<double>(1 + prefix.tokens + query.expected_tokens);
    candidate_list candidates =
        OpenCandidates(query, members, options_, live_nodes_(), now);
    if (candidates.empty()) {
      return std::nullopt;
    }
    for (candidate& one : candidates) {
      const upstream_key key{query.pool, one.state->spec.name};
      one.share = shares_.TokensOn(key, now) / one.slots;
      one.cached = prefixes_->CachedTokens(key, prefix);
      one.score = Score(query, prefix, one, now);
    }
    candidates = WithinBounds(std::move(candidates), tokens);
    const candidate* chosen = prefix.block_hashes.empty()
                                  ? BetterOfTwo(candidates)
                                  : Best(candidates, prefix);
    const upstream_key key{query.pool, chosen->state->spec.name};
    prefixes_->NoteSent(key, prefix);
    shares_.NoteSent(key, tokens, now);
    return key.upstream;
  }

 private:
  candidate_list WithinBounds(candidate_list candidates, double tokens) const {
    candidates = WithFreeSlot(candidates);
    candidates = WithinBound(std::move(candidates), &candidate::load,
                             options_.load_bound, options_.load_slack_slots);
    const double slack =
        options_.share_slack_requests * tokens / MeanSlots(candidates);
    return WithinBound(std::move(candidates), &candidate::share,
                       options_.share_bound, slack);
  }

  double Score(const choice_query& query, const prompt_prefix& prefix,
               const candidate& one, time_point now) const {
    const upstream& spec = one.state->spec;
    double score = WaitMs(one, options_);
    score += static_cast<double>(prefix.tokens - one.cached) *
             options_.prefill_ms_per_token;
    score += spec.price_per_hour * options_.price_ms;
    if (spec.reclaimable) {
      score += static_cast<double>(prefix.tokens + query.expected_tokens) *
               options_.reclaim_ms_per_token;
    }
    const std::optional<time_point>& refused = one.state->refused_at;
    if (refused && now - *refused < options_.refusal_memory) {
      score += options_.refused_ms;
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

  // The lowest score; where none has the prompt's beginning cached, one of the
  // two that every node would take.
  static const candidate* Best(const candidate_list& candidates,
                               const prompt_prefix& prefix) {
    const auto lowest =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const candidate& a, const candidate& b) {
                           return a.score < b.score;
                         });
    return lowest->cached > 0 ? &*lowest
                              : Place(candidates, prefix, lowest->score);
  }

  // Of the two highest rendezvous weights among those near the lowest score,
  // the one with the lower recent share.
  static const candidate* Place(const candidate_list& candidates,
                                const prompt_prefix& prefix, double lowest) {
    constexpr double kNearMs = 20;
    const candidate* first = nullptr;
    const candidate* second = nullptr;
    uint64_t first_weight = 0;
    uint64_t second_weight = 0;
    for (const candidate& one : candidates) {
      if (one.score > lowest + kNearMs) {
        continue;
      }
      const uint64_t weight =
          RendezvousWeight(prefix.block_hashes.front(), one.state->spec.name);
      if (first == nullptr || weight > first_weight) {
        second = std::exchange(first, &one);
        second_weight = std::exchange(first_weight, weight);
      } else if (second == nullptr || weight > second_weight) {
        second = &one;
        second_weight = weight;
      }
    }
    return second != nullptr && second->share < first->share ? second : first;
  }

  std::shared_ptr<prefix_tracker> prefixes_;
  score_options options_;
  node_count_fn live_nodes_;
  recent_share shares_;
  std::mt19937_64 random_;
};

}  // namespace

choose_fn MakeScoredChoice(std::shared_ptr<prefix_tracker> prefixes,
                           const score_options& options,
                           node_count_fn live_nodes, uint64_t seed) {
  auto choice = std::make_shared<scored_choice>(std::move(prefixes), options,
                                                std::move(live_nodes), seed);
  return [choice](const choice_query& query,
                  const std::vector<upstream_state>& members, time_point now) {
    return choice->Choose(query, members, now);
  };
}

}  // namespace skylarkcroft

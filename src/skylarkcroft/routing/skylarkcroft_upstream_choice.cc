#include "skylarkcroft/routing/skylarkcroft_upstream_choice.h"

#include <algorithm>
#include <memory>

namespace skylarkcroft {
namespace {

using candidate_list = std::vector<const upstream_state*>;

bool WasTried(const choice_query& query, const upstream_state& state) {
  return std::find(query.tried.begin(), query.tried.end(), state.spec.name) !=
         query.tried.end();
}

candidate_list Candidates(const choice_query& query,
                          const std::vector<upstream_state>& members,
                          time_point now) {
  candidate_list open;
  candidate_list untried;
  for (const upstream_state& state : members) {
    if (!TakesRequests(state, now)) {
      continue;
    }
    open.push_back(&state);
    if (!WasTried(query, state)) {
      untried.push_back(&state);
    }
  }
  return untried.empty() ? open : untried;
}

const upstream_state* PickAny(const candidate_list& candidates,
                              std::mt19937_64& random) {
  std::uniform_int_distribution<size_t> index(0, candidates.size() - 1);
  return candidates[index(random)];
}

double LoadOf(const upstream_state& state) {
  const int64_t reported =
      state.report ? state.report->running + state.report->waiting : 0;
  const int64_t requests =
      std::max(state.in_flight, reported + state.sent_since_report);
  return static_cast<double>(requests) /
         static_cast<double>(std::max<int64_t>(1, state.spec.slots));
}

}  // namespace

choose_fn MakeRandomChoice(uint64_t seed) {
  auto random = std::make_shared<std::mt19937_64>(seed);
  return [random](const choice_query& query,
                  const std::vector<upstream_state>& members,
                  time_point now) -> std::optional<std::string> {
    const candidate_list candidates = Candidates(query, members, now);
    if (candidates.empty()) {
      return std::nullopt;
    }
    return PickAny(candidates, *random)->spec.name;
  };
}

choose_fn MakeLeastLoadedChoice(uint64_t seed) {
  auto random = std::make_shared<std::mt19937_64>(seed);
  return [random](const choice_query& query,
                  const std::vector<upstream_state>& members,
                  time_point now) -> std::optional<std::string> {
    const candidate_list candidates = Candidates(query, members, now);
    if (candidates.empty()) {
      return std::nullopt;
    }
    const upstream_state* first = PickAny(candidates, *random);
    const upstream_state* second = PickAny(candidates, *random);
    return LoadOf(*second) < LoadOf(*first) ? second->spec.name
                                            : first->spec.name;
  };
}

}  // namespace skylarkcroft

#include "skylarkcroft/routing/skylarkcroft_upstream_choice.h"

#include <algorithm>
#include <memory>

namespace skylarkcroft {
namespace {

using candidate_list = std::vector<const upstream_state*>;

bool WasAttempted(const choice_query& query, const upstream_state& state) {
  return std::find(query.attempted.begin(), query.attempted.end(),
                   state.spec.name) != query.attempted.end();
}

candidate_list AvailableCandidates(const choice_query& query,
                                   const std::vector<upstream_state>& members,
                                   time_point now) {
  candidate_list available;
  candidate_list unattempted;
  for (const upstream_state& state : members) {
    if (!AcceptsRequests(state, now)) {
      continue;
    }
    available.push_back(&state);
    if (!WasAttempted(query, state)) {
      unattempted.push_back(&state);
    }
  }
  return unattempted.empty() ? available : unattempted;
}

const upstream_state* PickRandom(const candidate_list& candidates,
                                 std::mt19937_64& random) {
  std::uniform_int_distribution<size_t> index(0, candidates.size() - 1);
  return candidates[index(random)];
}

double RequestsPerSlot(const upstream_state& state) {
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
    const candidate_list candidates = AvailableCandidates(query, members, now);
    if (candidates.empty()) {
      return std::nullopt;
    }
    return PickRandom(candidates, *random)->spec.name;
  };
}

choose_fn MakeLeastLoadedChoice(uint64_t seed) {
  auto random = std::make_shared<std::mt19937_64>(seed);
  return [random](const choice_query& query,
                  const std::vector<upstream_state>& members,
                  time_point now) -> std::optional<std::string> {
    const candidate_list candidates = AvailableCandidates(query, members, now);
    if (candidates.empty()) {
      return std::nullopt;
    }
    const upstream_state* first = PickRandom(candidates, *random);
    const upstream_state* second = PickRandom(candidates, *random);
    return RequestsPerSlot(*second) < RequestsPerSlot(*first)
               ? second->spec.name
               : first->spec.name;
  };
}

}  // namespace skylarkcroft

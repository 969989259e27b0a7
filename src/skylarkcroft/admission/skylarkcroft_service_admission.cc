#include "skylarkcroft/admission/skylarkcroft_service_admission.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace skylarkcroft {

int service_admission::RankShift(const service_state& state,
                                 const std::string& workspace,
                                 time_point now) const {
  double all = 0;
  for (const auto& [name, use] : state.use) {
    all += use.Value(now);
  }
  const auto active =
      std::count_if(state.use.begin(), state.use.end(), [&](const auto& entry) {
        return entry.second.Value(now) > parameters_.min_active_use * all;
      });
  const auto own = state.use.find(workspace);
  if (active < 2 || own == state.use.end()) {
    return 0;
  }
  const double of_equal_part =
      own->second.Value(now) * static_cast<double>(active) / all;
  if (of_equal_part > parameters_.large_workspace) {
    return 1;
  }
  return of_equal_part < parameters_.small_workspace ? -1 : 0;
}

double service_admission::MaxFill(const service_state& state,
                                  const service_request& request,
                                  time_point now) const {
  const int shift = RankShift(state, request.workspace, now);
  // One admitted request more, so that a node without requests assumes room.
  const double admitted_share =
      (state.admitted.Value(now) + 1) / (state.asked.Value(now) + 1);
  const double assured = parameters_.min_relative_admitted * admitted_share *
                         (1 - parameters_.fair_share_weight * shift);
  if (request.draw < assured) {
    return parameters_.max_fill;
  }
  if (request.urgency <= 0) {
    return std::lerp(parameters_.urgent_max_fill,
                     parameters_.urgent_refused_fill, request.draw);
  }
  const int rank =
      std::clamp(request.urgency + shift, 1, parameters_.last_ordered_rank);
  return parameters_.first_refused_fill -
         parameters_.rank_step * (rank - 1 + request.draw);
}

void service_admission::RecordAdmitted(service_state& state,
                                       const service_request& request,
                                       time_point now) const {
  state.admitted.Add(1, now);
  state.admitted_tokens.Add(request.tokens, now);
  state.use.try_emplace(request.workspace, parameters_.half_life)
      .first->second.Add(request.tokens, now);
}

service_admission_decision service_admission::Decide(
    const service_request& request, const std::function<service_room()>& room,
    time_point now) {
  service_state& state =
      services_.try_emplace(request.service, parameters_).first->second;
  state.asked.Add(1, now);
  state.without_room = state.without_room || request.placed_full;
  service_admission_decision decision;
  if (!state.without_room) {
    RecordAdmitted(state, request, now);
    return decision;
  }
  const service_room seen = room();
  decision.fill = seen.Fill();
  decision.max_fill = MaxFill(state, request, now);
  state.without_room = decision.fill >= parameters_.stop_fill;
  decision.admitted = !state.without_room ||
                      seen.SlotsTaken() < parameters_.min_slots_taken ||
                      decision.fill <= decision.max_fill;
  if (decision.admitted) {
    RecordAdmitted(state, request, now);
    return decision;
  }
  // A full service ends as many requests as it runs in the mean service time.
  const double first_room_s =
      std::chrono::duration<double>(seen.mean_service_time).count() *
      (decision.fill - decision.max_fill) / decision.fill;
  const double rate =
      state.admitted_tokens.Value(now) * std::numbers::ln2 /
      std::chrono::duration<double>(parameters_.half_life).count();
  const int rank =
      std::clamp(request.urgency, 0, parameters_.last_ordered_rank);
  decision.wait = state.returns.Add(
      {static_cast<size_t>(rank), request.tokens, first_room_s, rate,
       request.remaining, request.jitter_draw},
      now);
  return decision;
}

}  // namespace skylarkcroft

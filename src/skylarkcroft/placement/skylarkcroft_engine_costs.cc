#include "skylarkcroft/placement/skylarkcroft_engine_costs.h"

#include <algorithm>

namespace skylarkcroft {

double engine_costs::PrefillMs(int64_t tokens) const {
  return slowness_.prefill * static_cast<double>(tokens) /
         parameters_.prefill_tokens_per_ms;
}

milliseconds engine_costs::FirstToken(int64_t tokens) const {
  const double latency =
      slowness_.prefill *
      static_cast<double>(parameters_.first_token_latency.count());
  return milliseconds(static_cast<milliseconds::rep>(latency)) +
         milliseconds(static_cast<milliseconds::rep>(PrefillMs(tokens)));
}

double engine_costs::Stall(int64_t tokens, int running) const {
  const double prefill_ms = PrefillMs(tokens);
  return running * prefill_ms * prefill_ms /
         static_cast<double>(parameters_.max_prefill_stall.count());
}

double engine_costs::Running(int slots) const {
  return slowness_.tokens *
         std::max(parameters_.running_request_cost_ms,
                  parameters_.full_batch_cost_ms / std::max(slots, 1));
}

int engine_costs::UsableSlots(int slots) const {
  const double usable =
      static_cast<double>(slots) / std::max(1.0, slowness_.tokens);
  return std::max(1, static_cast<int>(usable));
}

}  // namespace skylarkcroft

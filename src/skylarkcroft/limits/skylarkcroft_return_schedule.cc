#include "skylarkcroft/limits/skylarkcroft_return_schedule.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

milliseconds ToMilliseconds(double seconds) {
  constexpr double kMillisPerSecond = 1000;
  return milliseconds(
      static_cast<milliseconds::rep>(kMillisPerSecond * seconds));
}

double ToSeconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

milliseconds return_schedule::Add(const refused_request& request,
                                  time_point now) {
  double served = ToSeconds(now - updated_) * request.rate;
  updated_ = now;
  double ahead = 0;
  for (size_t rank = 0; rank < returning_.size(); ++rank) {
    const double returned = std::min(returning_[rank], served);
    returning_[rank] -= returned;
    served -= returned;
    ahead += rank <= request.rank ? returning_[rank] : 0;
  }
  const double behind_others = request.rate > 0 ? ahead / request.rate : 0;
  const double wait = std::clamp(request.first_room_s + behind_others,
                                 ToSeconds(parameters_.min_wait),
                                 ToSeconds(parameters_.max_wait));
  const double spread = wait * (1 + parameters_.jitter_fraction * request.draw);
  const double useful =
      parameters_.useful_fraction * ToSeconds(request.remaining);
  if (wait > useful) {
    return ToMilliseconds(spread);
  }
  returning_[request.rank] += request.amount;
  return ToMilliseconds(std::min(spread, useful));
}

}  // namespace skylarkcroft

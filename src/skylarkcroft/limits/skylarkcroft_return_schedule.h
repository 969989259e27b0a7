#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_RETURN_SCHEDULE_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_RETURN_SCHEDULE_H_

#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

struct return_schedule_parameters {
  /// Clients honour a `Retry-After` up to this fraction of the time left.
  double useful_fraction = 1.0 / 3;
  /// Fraction of a wait that is added at random, so that clients do not return
  /// together.
  double jitter_fraction = 0.25;
  milliseconds min_wait{100};
  milliseconds max_wait{60000};

  bool operator==(const return_schedule_parameters&) const = default;
};

/// A refused request.
struct refused_request {
  size_t rank = 0;            ///< 0 is the most urgent.
  double amount = 0;          ///< What it needs, in the unit of the limit.
  double first_room_s = 0;    ///< Until there is room for it alone.
  double rate = 0;            ///< Amount a second that is served.
  milliseconds remaining{0};  ///< Until the client's deadline.
  double draw = 0;            ///< Random number, uniform in [0, 1).

  bool operator==(const refused_request&) const = default;
};

/// Refused requests that were told to return, and when there is room for a
/// further one behind those of its and more urgent ranks.
class return_schedule {
 public:
  return_schedule(const return_schedule_parameters& parameters, size_t ranks)
      : parameters_(parameters), returning_(ranks, 0) {}

  /// The `Retry-After` of the request. It counts as returning if that is within
  /// the useful part of its remaining time.
  milliseconds Add(const refused_request& request, time_point now);

 private:
  return_schedule_parameters parameters_;
  /// Amount told to return and due later, by rank.
  std::vector<double> returning_;
  time_point updated_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_RETURN_SCHEDULE_H_

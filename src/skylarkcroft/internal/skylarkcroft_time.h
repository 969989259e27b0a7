#ifndef SKYLARKCROFT_INTERNAL_SKYLARKCROFT_TIME_H_
#define SKYLARKCROFT_INTERNAL_SKYLARKCROFT_TIME_H_

#include <time.h>

#include <chrono>
#include <functional>

namespace skylarkcroft {

/// Monotonic instant used by every decision; never compared between processes.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using milliseconds = std::chrono::milliseconds;

/// Source of the present time at the edge of the process; decisions take the
/// time_point as an argument instead.
using clock_fn = std::function<time_point()>;

/// Milliseconds since the Unix epoch, for stamps that other processes read.
using wall_clock_fn = std::function<int64_t()>;

inline time_point SteadyNow() { return std::chrono::steady_clock::now(); }

/// Like SteadyNow(), but goes on while the host is suspended, so that what was
/// known before counts as old afterwards.
inline time_point SuspendAwareNow() {
  timespec raw{};
  clock_gettime(CLOCK_BOOTTIME, &raw);
  return time_point(std::chrono::seconds(raw.tv_sec) +
                    std::chrono::nanoseconds(raw.tv_nsec));
}

inline int64_t WallNowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Elapsed milliseconds from `from` to `to`; negative when `to` is earlier.
inline int64_t ElapsedMs(time_point from, time_point to) {
  return std::chrono::duration_cast<milliseconds>(to - from).count();
}

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_INTERNAL_SKYLARKCROFT_TIME_H_

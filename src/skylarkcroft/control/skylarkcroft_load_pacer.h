#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_LOAD_PACER_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_LOAD_PACER_H_

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Bounds of the time between two weight fetches of one pool.
struct load_pace {
  milliseconds shortest{200};
  milliseconds longest{60000};

  bool operator==(const load_pace&) const = default;
};

/// Staggers the weight fetches of one pool. Holders of many pools share the
/// weight store's rate without talking to each other: each throttled fetch
/// doubles the spacing of that pool, each good one takes a tenth off it.
class load_pacer {
 public:
  explicit load_pacer(const load_pace& pace);

  [[nodiscard]] bool MayStart(time_point now) const { return now >= next_; }
  void NoteStarted(time_point now);
  void NoteFetched();
  void NoteThrottled(milliseconds retry_after, time_point now);

  [[nodiscard]] milliseconds spacing() const { return spacing_; }

 private:
  load_pace pace_;
  milliseconds spacing_;
  time_point next_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_LOAD_PACER_H_

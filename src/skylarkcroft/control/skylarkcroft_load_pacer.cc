#include "skylarkcroft/control/skylarkcroft_load_pacer.h"

#include <algorithm>

namespace skylarkcroft {

load_pacer::load_pacer(const load_pace& pace)
    : pace_(pace), spacing_(pace.shortest) {}

void load_pacer::NoteStarted(time_point now) { next_ = now + spacing_; }

void load_pacer::NoteFetched() {
  constexpr int kTenths = 10;
  spacing_ = std::max(pace_.shortest, spacing_ - spacing_ / kTenths);
}

void load_pacer::NoteThrottled(milliseconds retry_after, time_point now) {
  spacing_ = std::min(pace_.longest, 2 * spacing_);
  next_ = now + std::max(retry_after, spacing_);
}

}  // namespace skylarkcroft

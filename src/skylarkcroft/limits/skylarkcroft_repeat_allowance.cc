#include "skylarkcroft/limits/skylarkcroft_repeat_allowance.h"

#include <algorithm>

namespace skylarkcroft {

repeat_allowance::repeat_allowance(const repeat_terms& terms) : terms_(terms) {}

void repeat_allowance::Forget(recent& one, time_point now) const {
  for (std::deque<time_point>* times : {&one.requests, &one.repeats}) {
    while (!times->empty() && now - times->front() > terms_.window) {
      times->pop_front();
    }
  }
}

void repeat_allowance::NoteRequest(const std::string& service, time_point now) {
  recent& one = services_[service];
  Forget(one, now);
  one.requests.push_back(now);
}

bool repeat_allowance::TryRepeat(const std::string& service, size_t nodes,
                                 time_point now) {
  recent& one = services_[service];
  Forget(one, now);
  const double part =
      terms_.reserve / static_cast<double>(std::max<size_t>(nodes, 1));
  const double bound =
      terms_.safety *
      (terms_.share * static_cast<double>(one.requests.size()) + part);
  if (static_cast<double>(one.repeats.size()) + 1 > bound) {
    return false;
  }
  one.repeats.push_back(now);
  return true;
}

}  // namespace skylarkcroft

#include "standins/engine/cache_event_log.h"

namespace skylarkcroft::standin {
namespace {

constexpr size_t kMaxEntries = 16384;

}  // namespace

void cache_event_log::Add(const std::vector<cache_change>& changes,
                          time_point now) {
  for (const cache_change& change : changes) {
    ++last_seq_;
    entries_.push_back({{last_seq_, change}, now, lost_(generator_)});
  }
  while (entries_.size() > kMaxEntries) {
    entries_.pop_front();
  }
}

cache_event_page cache_event_log::After(int64_t after, time_point now) const {
  cache_event_page page;
  for (const entry& logged : entries_) {
    if (logged.added + lag_ > now) {
      break;
    }
    page.last_seq = logged.event.seq;
    if (logged.lost || logged.event.seq <= after) {
      continue;
    }
    page.events.push_back(logged.event);
  }
  return page;
}

}  // namespace skylarkcroft::standin

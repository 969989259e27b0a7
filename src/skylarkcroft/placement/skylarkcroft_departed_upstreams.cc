#include "skylarkcroft/placement/skylarkcroft_departed_upstreams.h"

namespace skylarkcroft {
namespace {

// Longer than copies of the store are old.
constexpr milliseconds kMemory{120000};

}  // namespace

void departed_upstreams::Record(const upstream_entry& entry, time_point now) {
  DropOld(now);
  departures_[entry.id] = {entry.incarnation, now};
}

bool departed_upstreams::Contains(const upstream_entry& entry) const {
  const auto found = departures_.find(entry.id);
  return found != departures_.end() &&
         found->second.incarnation == entry.incarnation;
}

void departed_upstreams::DropOld(time_point now) {
  std::erase_if(departures_, [now](const auto& one) {
    return now - one.second.at > kMemory;
  });
}

}  // namespace skylarkcroft

#ifndef SKYLARKCROFT_DUTIES_SKYLARKCROFT_WATCH_POSITION_H_
#define SKYLARKCROFT_DUTIES_SKYLARKCROFT_WATCH_POSITION_H_

#include <cstddef>
#include <string>
#include <vector>

namespace skylarkcroft {

/// The position from which `self` watches the lease of `duty` among `members`,
/// for DecideLease(). The first `watcher_count` members in rendezvous order
/// watch it; others get `watcher_count`. The holder is not waited for when it
/// is to be replaced: a member behind it takes its place in the order, so that
/// the takeover is not put off by one lease time more.
size_t WatchPosition(const std::string& duty, const std::string& self,
                     const std::string& holder,
                     const std::vector<std::string>& members,
                     size_t watcher_count);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DUTIES_SKYLARKCROFT_WATCH_POSITION_H_

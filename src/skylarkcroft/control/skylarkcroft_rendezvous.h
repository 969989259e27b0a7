#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_RENDEZVOUS_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_RENDEZVOUS_H_

#include <cstddef>
#include <string>
#include <vector>

namespace skylarkcroft {

/// Position, from 0, of `member` among `members` in the rendezvous (highest
/// random weight) order of `pool_name`. When a member joins or leaves, only the
/// pools that it gains or had are reassigned. A member that is not in `members`
/// gets the position it would have if it were.
size_t RendezvousPosition(const std::string& pool_name,
                          const std::string& member,
                          const std::vector<std::string>& members);

/// The `count` first of `members` in that order, or all if there are fewer.
std::vector<std::string> FirstByRendezvous(
    const std::string& pool_name, const std::vector<std::string>& members,
    size_t count);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_RENDEZVOUS_H_

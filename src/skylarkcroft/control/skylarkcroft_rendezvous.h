#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_RENDEZVOUS_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_RENDEZVOUS_H_

#include <cstddef>
#include <string>
#include <vector>

namespace skylarkcroft {

/// Place, from 0, of `member` in the rendezvous (highest random weight) order
/// of `pool_name` over `members`. Members that come or go move only the pools
/// that they have or had. A member that is not among `members` is placed as
/// though it were.
size_t RendezvousPlace(const std::string& pool_name, const std::string& member,
                       const std::vector<std::string>& members);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_RENDEZVOUS_H_

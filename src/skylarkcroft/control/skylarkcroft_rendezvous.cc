#include "skylarkcroft/control/skylarkcroft_rendezvous.h"

#include <algorithm>

#include "skylarkcroft/internal/skylarkcroft_digest.h"

namespace skylarkcroft {
namespace {

// A digest, because every process must compute the same weights.
std::string Weight(const std::string& pool_name, const std::string& member) {
  return Sha256Hex(pool_name + "\n" + member);
}

}  // namespace

size_t RendezvousPosition(const std::string& pool_name,
                          const std::string& member,
                          const std::vector<std::string>& members) {
  const std::string own = Weight(pool_name, member);
  const auto before =
      std::count_if(members.begin(), members.end(), [&](const auto& other) {
        return other != member && Weight(pool_name, other) > own;
      });
  return static_cast<size_t>(before);
}

}  // namespace skylarkcroft

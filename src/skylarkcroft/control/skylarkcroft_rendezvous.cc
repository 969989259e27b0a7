#include "skylarkcroft/control/skylarkcroft_rendezvous.h"

#include <algorithm>
#include <utility>

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

std::vector<std::string> FirstByRendezvous(
    const std::string& pool_name, const std::vector<std::string>& members,
    size_t count) {
  std::vector<std::pair<std::string, std::string>> weighed;
  weighed.reserve(members.size());
  for (const std::string& member : members) {
    weighed.emplace_back(Weight(pool_name, member), member);
  }
  std::sort(weighed.rbegin(), weighed.rend());
  std::vector<std::string> first;
  for (size_t i = 0; i < std::min(count, weighed.size()); ++i) {
    first.push_back(weighed[i].second);
  }
  return first;
}

}  // namespace skylarkcroft

#include "skylarkcroft/peers/skylarkcroft_forwarded_datagram.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

// Tells these from other datagrams between nodes.
constexpr const char* kFormatName = "forward1";
// Addresses of this many peers take some 250 bytes, which a payload of 1,200
// leaves free in a packet.
constexpr size_t kMaxGroupSize = 12;

}  // namespace

std::string EncodeForwarded(const forwarded_datagram& datagram) {
  json targets = json::array();
  for (const endpoint& target : datagram.targets) {
    targets.push_back(ToString(target));
  }
  const std::vector<uint8_t> bytes = json::to_cbor(json::array(
      {kFormatName, targets,
       json::binary({datagram.payload.begin(), datagram.payload.end()})}));
  return {bytes.begin(), bytes.end()};
}

std::optional<forwarded_datagram> DecodeForwarded(std::string_view bytes) {
  const json items = DecodeBoundedCbor(bytes);
  if (!items.is_array() || items.empty() || items.front() != kFormatName) {
    return std::nullopt;
  }
  try {
    forwarded_datagram datagram;
    for (const json& target : items.at(1)) {
      datagram.targets.push_back(
          ParseEndpoint(target.get<std::string>(), "$.targets"));
    }
    const json::binary_t& payload = items.at(2).get_binary();
    datagram.payload.assign(payload.begin(), payload.end());
    return datagram.targets.size() <= kMaxGroupSize
               ? std::optional<forwarded_datagram>(std::move(datagram))
               : std::nullopt;
  } catch (const json::exception&) {
    // Not written by this program. The caller counts it as malformed.
    return std::nullopt;
  } catch (const config_error&) {
    return std::nullopt;
  }
}

std::vector<forward_group> MakeForwardGroups(
    const std::vector<endpoint>& targets) {
  const size_t group_size =
      targets.size() <= kMaxDirectTargets
          ? 1
          : std::min(kMaxGroupSize, static_cast<size_t>(std::ceil(std::sqrt(
                                        static_cast<double>(targets.size())))));
  std::vector<forward_group> groups;
  for (size_t i = 0; i < targets.size(); ++i) {
    if (i % group_size == 0) {
      groups.push_back({targets[i], {}});
      continue;
    }
    groups.back().others.push_back(targets[i]);
  }
  return groups;
}

}  // namespace skylarkcroft

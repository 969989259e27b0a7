#include "skylarkcroft/platform/skylarkcroft_host_list_codec.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace skylarkcroft {
namespace {

constexpr int_range kIncarnations{0, std::numeric_limits<int64_t>::max()};

listed_host DecodeListedHost(const nlohmann::json& value,
                             const std::string& path) {
  const json_reader reader(value, path);
  listed_host host;
  host.id = reader.Name("id");
  host.kind =
      reader.ChoiceOr("kind", {"node", "upstream"}, "upstream") == "node"
          ? host_kind::kNode
          : host_kind::kUpstream;
  host.pool = reader.StringOr("pool", "");
  host.address =
      ParseEndpoint(reader.String("address"), reader.PathOf("address"));
  host.availability_zone = reader.Name("availability_zone");
  host.incarnation = reader.IntOr("incarnation", kIncarnations, 0);
  host.state =
      reader.ChoiceOr("state", {"live", "leaving"}, "live") == "leaving"
          ? host_state::kLeaving
          : host_state::kLive;
  return host;
}

}  // namespace

std::vector<listed_host> DecodeListedHosts(const json_reader& reader) {
  std::vector<listed_host> hosts;
  reader.Each("hosts",
              [&](const nlohmann::json& value, const std::string& path) {
                hosts.push_back(DecodeListedHost(value, path));
              });
  return hosts;
}

}  // namespace skylarkcroft

#include "skylarkcroft/platform/skylarkcroft_cloud_codec.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace skylarkcroft {
namespace {

using nlohmann::json;

constexpr double kMaxPrice = 1e9;
constexpr int_range kWholeNumbers{0, std::numeric_limits<int64_t>::max()};

double RequiredPrice(const json_reader& reader, const char* key) {
  reader.Require(key);
  return reader.NumberOr(key, {0, kMaxPrice}, 0);
}

bool RequiredBool(const json_reader& reader, const char* key) {
  reader.Require(key);
  return reader.BoolOr(key, false);
}

cloud_host_state DecodeState(const json_reader& reader) {
  const std::string state =
      reader.ChoiceOr("state", {"starting", "running", "ended"}, "starting");
  if (state == "running") {
    return cloud_host_state::kRunning;
  }
  return state == "ended" ? cloud_host_state::kEnded
                          : cloud_host_state::kStarting;
}

machine_price DecodePrice(const json& value, const std::string& path) {
  const json_reader reader(value, path);
  return {reader.Name("availability_zone"), reader.Name("machine_class"),
          RequiredPrice(reader, "reclaimable"),
          RequiredPrice(reader, "on_demand")};
}

reclaim_notice DecodeNotice(const json& value, const std::string& path) {
  const json_reader reader(value, path);
  return {reader.Int("seq", kWholeNumbers), reader.Name("host_id"),
          ParseEndpoint(reader.String("address"), reader.PathOf("address")),
          reader.Name("availability_zone"),
          reader.Int("reclaim_at_ms", kWholeNumbers)};
}

}  // namespace

std::vector<machine_price> DecodePrices(const json_reader& reader) {
  reader.Require("prices");
  std::vector<machine_price> prices;
  reader.Each("prices", [&](const json& value, const std::string& path) {
    prices.push_back(DecodePrice(value, path));
  });
  return prices;
}

std::vector<cloud_host> DecodeCloudHosts(const json_reader& reader) {
  reader.Require("hosts");
  std::vector<cloud_host> hosts;
  reader.Each("hosts", [&](const json& value, const std::string& path) {
    hosts.push_back(DecodeCloudHost(value, path));
  });
  return hosts;
}

std::vector<reclaim_notice> DecodeNotices(const json_reader& reader) {
  reader.Require("notices");
  std::vector<reclaim_notice> notices;
  reader.Each("notices", [&](const json& value, const std::string& path) {
    notices.push_back(DecodeNotice(value, path));
  });
  return notices;
}

cloud_host DecodeCloudHost(const json& value, const std::string& path) {
  const json_reader reader(value, path);
  cloud_host host;
  host.id = reader.Name("id");
  host.pool = reader.Name("pool");
  host.address =
      ParseEndpoint(reader.String("address"), reader.PathOf("address"));
  host.availability_zone = reader.Name("availability_zone");
  host.machine_class = reader.Name("machine_class");
  host.reclaimable = RequiredBool(reader, "reclaimable");
  host.state = DecodeState(reader);
  host.client_token = reader.StringOr("client_token", "");
  return host;
}

start_request DecodeStartRequest(const json& value, const std::string& path) {
  const json_reader reader(value, path,
                           {"client_token", "pool", "availability_zone",
                            "machine_class", "reclaimable"});
  return {reader.Name("client_token"), reader.Name("pool"),
          reader.Name("availability_zone"), reader.Name("machine_class"),
          RequiredBool(reader, "reclaimable")};
}

json EncodeStartRequest(const start_request& request) {
  return {{"client_token", request.client_token},
          {"pool", request.pool},
          {"availability_zone", request.availability_zone},
          {"machine_class", request.machine_class},
          {"reclaimable", request.reclaimable}};
}

}  // namespace skylarkcroft

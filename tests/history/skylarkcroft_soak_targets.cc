#include "tests/history/skylarkcroft_soak_targets.h"

#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_digest.h"

namespace skylarkcroft::history {
namespace {

constexpr int kProgressTimeoutMs = 1000;
constexpr int kDeadlineMs = 10000;

nlohmann::json Upstreams(const std::vector<endpoint>& addresses,
                         const std::string& prefix) {
  nlohmann::json upstreams = nlohmann::json::array();
  for (const endpoint& address : addresses) {
    upstreams.push_back(
        {{"name", prefix + std::to_string(upstreams.size() + 1)},
         {"address", ToString(address)},
         {"availability_zone", "zone-a"}});
  }
  return upstreams;
}

}  // namespace

std::string SoakRoutes(const soak_targets& targets) {
  const nlohmann::json document = {
      {"callers",
       {{{"name", "soak"}, {"key_sha256", {Sha256Hex(targets.caller_key)}}}}},
      {"routes",
       {{{"name", "ask"},
         {"path_prefix", "/v1/"},
         {"pool", "assistant"},
         {"deadline_ms", kDeadlineMs}},
        {{"name", "orders"},
         {"path_prefix", "/orders"},
         {"pool", "orders"},
         {"deadline_ms", kDeadlineMs}}}}};
  return document.dump();
}

std::string SoakPools(const soak_targets& targets, int variant) {
  const nlohmann::json retry = {
      {"progress_timeout_ms", kProgressTimeoutMs + variant}};
  const nlohmann::json document = {
      {"pools",
       {{{"name", "assistant"},
         {"retry", retry},
         {"upstreams", Upstreams(targets.engines, "e")}},
        {{"name", "orders"},
         {"kind", "service"},
         {"outcomes_readable", true},
         {"retry", retry},
         {"upstreams", Upstreams(targets.services, "s")}}}}};
  return document.dump();
}

}  // namespace skylarkcroft::history

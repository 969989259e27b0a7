#include "skylarkcroft/tables/skylarkcroft_pools_table.h"

#include <nlohmann/json.hpp>
#include <unordered_set>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft {
namespace {

constexpr int64_t kMaxSlots = 100000;
constexpr int64_t kMaxAttempts = 20;
constexpr int64_t kMaxHosts = 100000;
constexpr int64_t kMaxTimeoutMs = 3600000;
constexpr double kMaxPricePerHour = 1e6;

upstream ParseUpstream(const nlohmann::json& element, const std::string& path) {
  const json_reader reader(element, path,
                           {"name", "address", "availability_zone", "slots",
                            "reclaimable", "price_per_hour"});
  upstream parsed;
  parsed.name = reader.Name("name");
  parsed.address =
      ParseEndpoint(reader.String("address"), reader.PathOf("address"));
  parsed.availability_zone = reader.Name("availability_zone");
  parsed.slots = reader.IntOr("slots", {1, kMaxSlots}, parsed.slots);
  parsed.reclaimable = reader.BoolOr("reclaimable", parsed.reclaimable);
  parsed.price_per_hour =
      reader.NumberOr("price_per_hour", {0, kMaxPricePerHour}, 0);
  return parsed;
}

retry_policy ParseRetry(const json_reader& parent) {
  retry_policy policy;
  if (!parent.Has("retry")) {
    return policy;
  }
  const json_reader reader(parent.Member("retry"), parent.PathOf("retry"),
                           {"budget_share", "max_attempts", "base_backoff_ms",
                            "progress_timeout_ms"});
  policy.budget_share =
      reader.NumberOr("budget_share", {0, 1}, policy.budget_share);
  policy.max_attempts =
      reader.IntOr("max_attempts", {1, kMaxAttempts}, policy.max_attempts);
  policy.base_backoff = milliseconds(reader.IntOr(
      "base_backoff_ms", {1, kMaxTimeoutMs}, policy.base_backoff.count()));
  policy.progress_timeout =
      milliseconds(reader.IntOr("progress_timeout_ms", {1, kMaxTimeoutMs},
                                policy.progress_timeout.count()));
  return policy;
}

model_deployment ParseDeployment(const json_reader& parent) {
  model_deployment deployment;
  if (!parent.Has("deployment")) {
    return deployment;
  }
  const json_reader reader(parent.Member("deployment"),
                           parent.PathOf("deployment"),
                           {"model", "version", "adapters"});
  deployment.model = reader.Name("model");
  deployment.version = reader.StringOr("version", deployment.version);
  deployment.adapters = reader.StringsOr("adapters", {});
  return deployment;
}

host_policy ParseHosts(const json_reader& parent) {
  host_policy policy;
  if (!parent.Has("hosts")) {
    return policy;
  }
  const json_reader reader(parent.Member("hosts"), parent.PathOf("hosts"),
                           {"min_hosts", "max_hosts", "machine_classes",
                            "availability_zones", "max_price_per_hour"});
  policy.min_hosts = reader.IntOr("min_hosts", {0, kMaxHosts}, 0);
  policy.max_hosts = reader.IntOr("max_hosts", {0, kMaxHosts}, 0);
  policy.machine_classes = reader.StringsOr("machine_classes", {});
  policy.availability_zones = reader.StringsOr("availability_zones", {});
  policy.max_price_per_hour =
      reader.NumberOr("max_price_per_hour", {0, kMaxPricePerHour}, 0);
  if (policy.min_hosts > policy.max_hosts) {
    throw config_error(reader.PathOf("min_hosts"), "is greater than max_hosts",
                       "lower min_hosts or raise max_hosts");
  }
  return policy;
}

pool ParsePool(const nlohmann::json& element, const std::string& path) {
  const json_reader reader(
      element, path,
      {"name", "kind", "deployment", "fencing", "outcomes_readable", "retry",
       "hosts", "upstreams"});
  pool parsed;
  parsed.name = reader.Name("name");
  parsed.kind =
      reader.ChoiceOr("kind", {"engine", "service"}, "engine") == "service"
          ? pool_kind::kService
          : pool_kind::kEngine;
  parsed.deployment = ParseDeployment(reader);
  parsed.fencing =
      reader.ChoiceOr("fencing", {"checked", "ignored"}, "checked") == "ignored"
          ? fencing_mode::kIgnored
          : fencing_mode::kChecked;
  parsed.outcomes_readable = reader.BoolOr("outcomes_readable", false);
  parsed.retry = ParseRetry(reader);
  parsed.hosts = ParseHosts(reader);
  reader.Each("upstreams",
              [&](const nlohmann::json& child, const std::string& child_path) {
                parsed.upstreams.push_back(ParseUpstream(child, child_path));
              });
  return parsed;
}

void CheckUpstreamNames(const pool& owner, const std::string& path) {
  std::unordered_set<std::string> names;
  size_t index = 0;
  for (const upstream& member : owner.upstreams) {
    const std::string member_path =
        path + ".upstreams[" + std::to_string(index++) + "].name";
    if (names.insert(member.name).second) {
      continue;
    }
    throw config_error(member_path, "'" + member.name + "' appears twice",
                       "give each upstream of a pool its own name");
  }
}

void CheckUniqueNames(const std::vector<pool>& pools) {
  std::unordered_set<std::string> names;
  size_t index = 0;
  for (const pool& entry : pools) {
    const std::string path = "$.pools[" + std::to_string(index++) + "]";
    if (!names.insert(entry.name).second) {
      throw config_error(path + ".name", "'" + entry.name + "' appears twice",
                         "give each pool its own name");
    }
    CheckUpstreamNames(entry, path);
  }
}

}  // namespace

pools_table::pools_table(std::vector<pool> pools) : pools_(std::move(pools)) {
  for (size_t index = 0; index < pools_.size(); ++index) {
    by_name_.emplace(pools_[index].name, index);
  }
}

const pool* pools_table::Find(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &pools_[found->second];
}

pools_table ParsePoolsTable(const nlohmann::json& document) {
  const json_reader table(document, "$", {"pools"});
  std::vector<pool> pools;
  table.Each("pools",
             [&](const nlohmann::json& element, const std::string& path) {
               pools.push_back(ParsePool(element, path));
             });
  CheckUniqueNames(pools);
  return pools_table(std::move(pools));
}

}  // namespace skylarkcroft

#include "skylarkcroft/relay/skylarkcroft_relay_settings.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_settings_values.h"
#include "skylarkcroft/log/skylarkcroft_log_level.h"

namespace skylarkcroft {
namespace {

constexpr double kMaxRetryReserve = 1e6;
constexpr double kMaxOverageTokens = 1e9;
constexpr int64_t kMaxMemoryMb = 1 << 20;
constexpr int64_t kMaxFileDescriptors = 1 << 20;

listen_addresses ParseListenAddresses(const json_reader& root) {
  const json_reader reader(root.Member("listen"), root.PathOf("listen"),
                           {"clients", "readiness", "peers", "metrics"});
  return {ReadEndpoint(reader, "clients"), ReadEndpoint(reader, "readiness"),
          ReadEndpoint(reader, "peers"), ReadEndpoint(reader, "metrics")};
}

relay_bounds ParseBounds(const json_reader& root) {
  relay_bounds bounds;
  if (!root.Has("bounds")) {
    return bounds;
  }
  const json_reader reader(
      root.Member("bounds"), root.PathOf("bounds"),
      {"apply_deadline_ms", "revocation_ms", "strict_revocation", "drain_ms",
       "grace_period_ms", "repeat_share", "repeat_window_ms", "repeat_reserve",
       "allotment_overage_share", "allotment_overage_tokens", "lease_ms",
       "usage_window_ms", "usage_lateness_ms", "exposure_share",
       "exposure_slack", "rollback_ms"});
  bounds.apply_deadline =
      ReadMs(reader, "apply_deadline_ms", bounds.apply_deadline, 1);
  bounds.revocation = ReadMs(reader, "revocation_ms", bounds.revocation, 1);
  bounds.strict_revocation =
      reader.BoolOr("strict_revocation", bounds.strict_revocation);
  bounds.drain = ReadMs(reader, "drain_ms", bounds.drain, 1);
  bounds.grace_period =
      ReadMs(reader, "grace_period_ms", bounds.grace_period, 1);
  bounds.repeat_share =
      reader.NumberOr("repeat_share", {0, 1}, bounds.repeat_share);
  bounds.repeat_window =
      ReadMs(reader, "repeat_window_ms", bounds.repeat_window, 1);
  bounds.repeat_reserve = reader.NumberOr(
      "repeat_reserve", {0, kMaxRetryReserve}, bounds.repeat_reserve);
  bounds.quotas.share =
      reader.NumberOr("allotment_overage_share", {0, 1}, bounds.quotas.share);
  bounds.quotas.amount = reader.NumberOr(
      "allotment_overage_tokens", {0, kMaxOverageTokens}, bounds.quotas.amount);
  bounds.lease = ReadMs(reader, "lease_ms", bounds.lease, 1);
  bounds.usage_window =
      ReadMs(reader, "usage_window_ms", bounds.usage_window, 1);
  bounds.usage_lateness =
      ReadMs(reader, "usage_lateness_ms", bounds.usage_lateness, 1);
  if (reader.Has("exposure_share")) {
    bounds.exposure_share = reader.NumberOr("exposure_share", {0, 1}, 0);
  }
  bounds.exposure_slack = reader.NumberOr(
      "exposure_slack", {0, kMaxRetryReserve}, bounds.exposure_slack);
  bounds.rollback = ReadMs(reader, "rollback_ms", bounds.rollback, 1);
  return bounds;
}

}  // namespace

relay_settings ParseRelaySettings(const nlohmann::json& document) {
  const json_reader root(document, "$",
                         {"node", "availability_zone", "first_start", "listen",
                          "store", "cloud", "duties", "bounds", "memory_mb",
                          "file_descriptors", "pace_upstreams", "log_level"});
  relay_settings parsed;
  parsed.name = root.Name("node");
  parsed.availability_zone = root.Name("availability_zone");
  parsed.first_start = root.BoolOr("first_start", false);
  parsed.paces_upstreams = root.BoolOr("pace_upstreams", false);
  parsed.listen = ParseListenAddresses(root);
  parsed.store = ReadEndpoint(root, "store");
  parsed.cloud = ReadEndpoint(root, "cloud");
  const std::vector<std::string> duties =
      root.StringsOr("duties", {"usage", "fleet"});
  const auto is_enabled = [&duties](const char* duty) {
    return std::find(duties.begin(), duties.end(), duty) != duties.end();
  };
  parsed.reports_usage = is_enabled("usage");
  parsed.orders_fleet = is_enabled("fleet");
  parsed.bounds = ParseBounds(root);
  parsed.memory_mb = root.IntOr("memory_mb", {0, kMaxMemoryMb}, 0);
  parsed.file_descriptors =
      root.IntOr("file_descriptors", {0, kMaxFileDescriptors}, 0);
  parsed.log_level = root.ChoiceOr(
      "log_level", {"trace", "debug", "info", "warn", "error"}, "info");
  return parsed;
}

}  // namespace skylarkcroft

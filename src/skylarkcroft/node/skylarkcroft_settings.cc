#include "skylarkcroft/node/skylarkcroft_settings.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_settings_values.h"

namespace skylarkcroft {
namespace {

constexpr int64_t kMinHeaderBytes = 1024;
constexpr int64_t kMaxHeaderBytes = 1024 * 1024;
constexpr int64_t kMinBodyBytes = 1024;
constexpr int64_t kMaxBodyBytes = 256LL * 1024 * 1024;
constexpr const char* kNameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-";

endpoint ReadEndpointOr(const json_reader& reader, std::string_view key,
                        const endpoint& fallback) {
  return reader.Has(key) ? ReadEndpoint(reader, key) : fallback;
}

void ReadNode(const json_reader& root, settings& parsed) {
  const json_reader reader(root.Member("node"), root.PathOf("node"),
                           {"name", "availability_zone", "region"});
  parsed.name = reader.Name("name");
  if (parsed.name.find_first_not_of(kNameCharacters) != std::string::npos) {
    throw config_error(reader.PathOf("name"),
                       "'" + parsed.name + "' is not a valid name",
                       "use lower-case letters, digits and '-'");
  }
  parsed.availability_zone = reader.Name("availability_zone");
  parsed.region = reader.Name("region");
}

void ReadListen(const json_reader& root, settings& parsed) {
  const json_reader reader(root.Member("listen"), root.PathOf("listen"),
                           {"callers", "operators", "mesh"});
  parsed.callers_address = ReadEndpoint(reader, "callers");
  parsed.operators_address = ReadEndpoint(reader, "operators");
  parsed.mesh_address = ReadEndpoint(reader, "mesh");
}

void ReadPlatform(const json_reader& root, settings& parsed) {
  const json_reader reader(
      root.Member("platform"), root.PathOf("platform"),
      {"tables", "objects", "hosts", "cloud", "weights", "timeout_ms"});
  platform_addresses& platform = parsed.platform;
  platform.tables = ReadEndpoint(reader, "tables");
  platform.objects = ReadEndpointOr(reader, "objects", platform.tables);
  platform.hosts = ReadEndpointOr(reader, "hosts", platform.tables);
  platform.cloud = ReadEndpointOr(reader, "cloud", platform.tables);
  platform.weights = ReadEndpointOr(reader, "weights", platform.tables);
  platform.timeout = ReadMs(reader, "timeout_ms", platform.timeout);
}

void ReadPeers(const json_reader& root, settings& parsed) {
  size_t index = 0;
  for (const std::string& text : root.StringsOr("peers", {})) {
    const std::string path =
        root.PathOf("peers") + "[" + std::to_string(index++) + "]";
    parsed.peers.push_back(ParseEndpoint(text, path));
  }
}

void ReadHttp(const json_reader& root, settings& parsed) {
  if (!root.Has("http")) {
    return;
  }
  const json_reader reader(root.Member("http"), root.PathOf("http"),
                           {"max_header_bytes", "max_body_bytes",
                            "io_timeout_ms", "request_timeout_ms"});
  http_server_limits& limits = parsed.http;
  limits.max_header_bytes = static_cast<size_t>(
      reader.IntOr("max_header_bytes", {kMinHeaderBytes, kMaxHeaderBytes},
                   static_cast<int64_t>(limits.max_header_bytes)));
  limits.max_body_bytes = static_cast<size_t>(
      reader.IntOr("max_body_bytes", {kMinBodyBytes, kMaxBodyBytes},
                   static_cast<int64_t>(limits.max_body_bytes)));
  limits.io_timeout = ReadMs(reader, "io_timeout_ms", limits.io_timeout);
  limits.request_timeout =
      ReadMs(reader, "request_timeout_ms", limits.request_timeout);
}

void ReadTables(const json_reader& root, settings& parsed) {
  if (!root.Has("tables")) {
    return;
  }
  const json_reader reader(root.Member("tables"), root.PathOf("tables"),
                           {"poll_ms", "staleness_ms"});
  parsed.tables.poll_period =
      ReadMs(reader, "poll_ms", parsed.tables.poll_period);
  parsed.tables.staleness_bound =
      ReadMs(reader, "staleness_ms", parsed.tables.staleness_bound);
}

void ReadPolicy(const json_reader& root, settings& parsed) {
  if (!root.Has("policy")) {
    return;
  }
  const json_reader reader(root.Member("policy"), root.PathOf("policy"),
                           {"admission", "routing", "hedging"});
  parsed.policy.admission = reader.ChoiceOr(
      "admission", {"ranked", "strict", "fifo"}, parsed.policy.admission);
  parsed.policy.routing = reader.ChoiceOr(
      "routing", {"scored", "least_loaded", "random"}, parsed.policy.routing);
  parsed.policy.hedging = reader.BoolOr("hedging", parsed.policy.hedging);
}

void ReadAnswers(const json_reader& root, settings& parsed) {
  if (!root.Has("answers")) {
    return;
  }
  const json_reader reader(root.Member("answers"), root.PathOf("answers"),
                           {"detached_limit_ms", "retention_ms"});
  answer_settings& answers = parsed.answers;
  answers.detached_limit =
      ReadMs(reader, "detached_limit_ms", answers.detached_limit);
  answers.retention = ReadMs(reader, "retention_ms", answers.retention);
}

void ReadShutdown(const json_reader& root, settings& parsed) {
  if (!root.Has("shutdown")) {
    return;
  }
  const json_reader reader(root.Member("shutdown"), root.PathOf("shutdown"),
                           {"settle_ms", "limit_ms"});
  parsed.shutdown.settle = ReadMs(reader, "settle_ms", parsed.shutdown.settle);
  parsed.shutdown.limit = ReadMs(reader, "limit_ms", parsed.shutdown.limit);
}

void ReadDeferred(const json_reader& root, settings& parsed) {
  if (!root.Has("deferred")) {
    return;
  }
  const json_reader reader(root.Member("deferred"), root.PathOf("deferred"),
                           {"heartbeat_ms", "lease_ms", "scan_ms", "retry_ms"});
  deferred_options& deferred = parsed.deferred;
  deferred.heartbeat_period =
      ReadMs(reader, "heartbeat_ms", deferred.heartbeat_period);
  deferred.lease = ReadMs(reader, "lease_ms", deferred.lease);
  deferred.scan_period = ReadMs(reader, "scan_ms", deferred.scan_period);
  deferred.retry_delay = ReadMs(reader, "retry_ms", deferred.retry_delay);
  if (deferred.lease <= 2 * deferred.heartbeat_period) {
    throw config_error(reader.PathOf("lease_ms"), "is not above two heartbeats",
                       "raise lease_ms or lower heartbeat_ms");
  }
}

void ReadLog(const json_reader& root, settings& parsed) {
  if (!root.Has("log")) {
    return;
  }
  const json_reader reader(root.Member("log"), root.PathOf("log"), {"level"});
  parsed.log_level = reader.ChoiceOr(
      "level", {"trace", "debug", "info", "warn", "error"}, parsed.log_level);
}

}  // namespace

settings ParseSettings(const nlohmann::json& document) {
  const json_reader root(
      document, "$",
      {"node", "listen", "platform", "peers", "operator_key_sha256", "mesh_key",
       "http", "tables", "policy", "answers", "shutdown", "deferred", "log"});
  settings parsed;
  ReadNode(root, parsed);
  ReadListen(root, parsed);
  ReadPlatform(root, parsed);
  ReadPeers(root, parsed);
  parsed.operator_key_digest = root.StringOr("operator_key_sha256", "");
  parsed.mesh_key = root.StringOr("mesh_key", "");
  ReadHttp(root, parsed);
  ReadTables(root, parsed);
  ReadPolicy(root, parsed);
  ReadAnswers(root, parsed);
  ReadShutdown(root, parsed);
  ReadDeferred(root, parsed);
  ReadLog(root, parsed);
  return parsed;
}

}  // namespace skylarkcroft

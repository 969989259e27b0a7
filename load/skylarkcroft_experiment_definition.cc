#include "load/skylarkcroft_experiment_definition.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft::load {
namespace {

constexpr int64_t kMaxDurationS = 3600;
constexpr int64_t kMaxDurationMs = kMaxDurationS * 1000;
constexpr int64_t kMaxTargetMs = 24LL * 3600 * 1000;
constexpr int64_t kMaxCallers = 10000;
constexpr int64_t kMaxWords = 100000;
constexpr int64_t kMaxTokens = 100000;
constexpr int64_t kMaxBodyBytes = 4 * 1024 * 1024;
constexpr int64_t kMaxRequests = 5'000'000;
constexpr int64_t kDefaultMaxRequests = 200'000;
constexpr int64_t kMaxInFlight = 20'000;
constexpr int64_t kDefaultMaxInFlight = 5'000;
constexpr int64_t kDefaultSpanMs = 10'000;
constexpr int64_t kDefaultProgressTimeoutMs = 60'000;
constexpr double kMaxRate = 100'000.0;
constexpr double kMaxFactor = 10'000.0;

struct kind_name {
  std::string_view name;
  request_kind kind;
};

constexpr std::array<kind_name, 3> kKinds = {{
    {"completion", request_kind::kCompletion},
    {"deferred", request_kind::kDeferred},
    {"plain", request_kind::kPlain},
}};

request_kind ReadKind(const json_reader& reader) {
  const std::string name = reader.ChoiceOr(
      "kind", {"completion", "deferred", "plain"}, "completion");
  for (const kind_name& known : kKinds) {
    if (known.name == name) {
      return known.kind;
    }
  }
  return request_kind::kCompletion;
}

milliseconds ReadMs(const json_reader& reader, std::string_view key,
                    int_range range, int64_t fallback) {
  return milliseconds(reader.IntOr(key, range, fallback));
}

rate_phase ParsePhase(const nlohmann::json& value, const std::string& path) {
  const json_reader reader(value, path, {"from_ms", "to_ms", "rate_factor"});
  rate_phase phase;
  phase.from = milliseconds(reader.Int("from_ms", {0, kMaxDurationMs}));
  phase.to = milliseconds(reader.Int("to_ms", {0, kMaxDurationMs}));
  phase.rate_factor = reader.NumberOr("rate_factor", {0.0, kMaxFactor}, 1.0);
  if (phase.to <= phase.from) {
    throw config_error(reader.PathOf("to_ms"), "is not after from_ms",
                       "end the phase after it starts");
  }
  return phase;
}

std::vector<rate_phase> ParsePhases(const json_reader& reader) {
  std::vector<rate_phase> phases;
  reader.Each("phases",
              [&](const nlohmann::json& value, const std::string& path) {
                const rate_phase phase = ParsePhase(value, path);
                if (!phases.empty() && phase.from < phases.back().to) {
                  throw config_error(path + ".from_ms",
                                     "starts before the phase before it ends",
                                     "list phases in order, without overlap");
                }
                phases.push_back(phase);
              });
  return phases;
}

prompt_shape ParsePrompt(const json_reader& group) {
  prompt_shape shape;
  if (!group.Has("prompt")) {
    return shape;
  }
  const json_reader reader(group.Member("prompt"), group.PathOf("prompt"),
                           {"words", "shared_groups", "shared_part"});
  shape.words =
      static_cast<int>(reader.IntOr("words", {1, kMaxWords}, shape.words));
  shape.shared_groups = static_cast<int>(
      reader.IntOr("shared_groups", {1, kMaxWords}, shape.shared_groups));
  shape.shared_part = reader.NumberOr("shared_part", {0.0, 1.0}, 0.0);
  return shape;
}

latency_targets ParseTargets(const json_reader& group) {
  latency_targets targets;
  if (!group.Has("targets")) {
    return targets;
  }
  const json_reader reader(group.Member("targets"), group.PathOf("targets"),
                           {"first_token_ms", "between_tokens_ms", "total_ms"});
  const int_range range{0, kMaxTargetMs};
  targets.first_token = ReadMs(reader, "first_token_ms", range, 0);
  targets.between_tokens = ReadMs(reader, "between_tokens_ms", range, 0);
  targets.total = ReadMs(reader, "total_ms", range, 0);
  return targets;
}

std::string ReadPath(const json_reader& reader, request_kind kind) {
  if (kind != request_kind::kPlain && !reader.Has("path")) {
    return "/v1/chat/completions";
  }
  std::string path = reader.Name("path");
  if (path.front() != '/') {
    throw config_error(reader.PathOf("path"), "does not start with '/'",
                       "write the path of the route");
  }
  return path;
}

caller_group ParseGroup(const nlohmann::json& value, const std::string& path) {
  const json_reader reader(
      value, path,
      {"name", "callers", "key_prefix", "rank", "kind", "path", "model",
       "rate_per_caller", "phases", "prompt", "max_tokens", "stream", "method",
       "idempotency_key", "body_bytes", "targets"});
  caller_group group;
  group.name = reader.Name("name");
  group.callers =
      static_cast<int>(reader.IntOr("callers", {1, kMaxCallers}, 1));
  group.key_prefix = reader.Name("key_prefix");
  group.rank = reader.StringOr("rank", "");
  group.kind = ReadKind(reader);
  const bool plain = group.kind == request_kind::kPlain;
  group.path = ReadPath(reader, group.kind);
  group.model = plain ? reader.StringOr("model", "") : reader.Name("model");
  group.rate_per_caller =
      reader.NumberOr("rate_per_caller", {0.0, kMaxRate}, 1.0);
  group.phases = ParsePhases(reader);
  group.prompt = ParsePrompt(reader);
  group.max_tokens =
      static_cast<int>(reader.IntOr("max_tokens", {1, kMaxTokens}, 16));
  group.stream =
      reader.BoolOr("stream", true) && group.kind == request_kind::kCompletion;
  group.method = reader.ChoiceOr(
      "method", {"GET", "POST", "PUT", "PATCH", "DELETE"}, "POST");
  group.idempotency_key = reader.BoolOr("idempotency_key", false);
  group.body_bytes =
      static_cast<int>(reader.IntOr("body_bytes", {0, kMaxBodyBytes}, 0));
  group.targets = ParseTargets(reader);
  return group;
}

bool IsLoopback(const endpoint& address) {
  return address.host.starts_with("127.") || address.host == "::1";
}

endpoint ParseNode(std::string_view text, const std::string& path) {
  endpoint node = ParseEndpoint(text, path);
  if (!IsLoopback(node)) {
    throw config_error(path, ToString(node) + " is not a loopback address",
                       "run the fleet under test on 127.0.0.1");
  }
  return node;
}

void ReadGroups(const json_reader& reader, experiment_definition& definition) {
  reader.Each("groups", [&](const nlohmann::json& value,
                            const std::string& path) {
    caller_group group = ParseGroup(value, path);
    for (const caller_group& other : definition.groups) {
      if (other.name == group.name) {
        throw config_error(path + ".name", "'" + group.name + "' is used twice",
                           "give each group its own name");
      }
    }
    definition.groups.push_back(std::move(group));
  });
  if (definition.groups.empty()) {
    throw config_error(reader.PathOf("groups"), "has no caller group",
                       "add at least one");
  }
}

milliseconds Stretch(milliseconds span, milliseconds from, milliseconds to) {
  return milliseconds(span.count() * to.count() / from.count());
}

}  // namespace

experiment_definition ParseDefinition(const nlohmann::json& document) {
  const json_reader reader(
      document, "$",
      {"name", "seed", "duration_s", "drain_ms", "progress_timeout_ms",
       "max_requests", "max_in_flight", "resume_broken", "nodes", "groups"});
  experiment_definition definition;
  definition.name = reader.Name("name");
  definition.seed = static_cast<uint64_t>(
      reader.IntOr("seed", {0, std::numeric_limits<int64_t>::max()}, 1));
  definition.duration =
      std::chrono::seconds(reader.IntOr("duration_s", {1, kMaxDurationS}, 10));
  definition.drain =
      ReadMs(reader, "drain_ms", {0, kMaxDurationMs}, kDefaultSpanMs);
  definition.progress_timeout =
      ReadMs(reader, "progress_timeout_ms", {1, kMaxDurationMs},
             kDefaultProgressTimeoutMs);
  definition.max_requests =
      reader.IntOr("max_requests", {1, kMaxRequests}, kDefaultMaxRequests);
  definition.max_in_flight =
      reader.IntOr("max_in_flight", {1, kMaxInFlight}, kDefaultMaxInFlight);
  definition.resume_broken = reader.BoolOr("resume_broken", true);
  size_t index = 0;
  for (const std::string& node : reader.StringsOr("nodes", {})) {
    const std::string path =
        reader.PathOf("nodes") + "[" + std::to_string(index) + "]";
    definition.nodes.push_back(ParseNode(node, path));
    ++index;
  }
  ReadGroups(reader, definition);
  return definition;
}

std::vector<endpoint> ParseNodes(std::string_view text,
                                 const std::string& path) {
  std::vector<endpoint> nodes;
  while (!text.empty()) {
    const size_t comma = std::min(text.find(','), text.size());
    nodes.push_back(ParseNode(text.substr(0, comma), path));
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return nodes;
}

experiment_definition ScaledTo(const experiment_definition& definition,
                               milliseconds wanted) {
  experiment_definition scaled = definition;
  scaled.duration = wanted;
  for (caller_group& group : scaled.groups) {
    for (rate_phase& phase : group.phases) {
      phase.from = Stretch(phase.from, definition.duration, wanted);
      phase.to = Stretch(phase.to, definition.duration, wanted);
    }
  }
  return scaled;
}

}  // namespace skylarkcroft::load

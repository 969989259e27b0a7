#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_EXPERIMENT_DEFINITION_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_EXPERIMENT_DEFINITION_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::load {

/// A span of the run in which a group's arrival rate is multiplied by
/// `rate_factor`. Spans of one group may not overlap.
struct rate_phase {
  milliseconds from{0};
  milliseconds to{0};
  double rate_factor = 1.0;

  bool operator==(const rate_phase&) const = default;
};

/// Shape of a generated prompt. The first `shared_part` of the words is the
/// same for all prompts of one shared prefix group.
struct prompt_shape {
  int words = 64;
  int shared_groups = 1;
  double shared_part = 0.0;

  bool operator==(const prompt_shape&) const = default;
};

/// Latency targets of one request; zero means no target.
struct latency_targets {
  milliseconds first_token{0};
  /// Mean time between two tokens of one answer.
  milliseconds between_tokens{0};
  milliseconds total{0};

  bool operator==(const latency_targets&) const = default;
};

/// What the callers of a group ask for.
enum class request_kind {
  kCompletion,  ///< A model completion, streamed or whole.
  kDeferred,    ///< A completion answered 202 and fetched later by id.
  kPlain,       ///< One call to a plain service.
};

/// Callers that behave alike. Caller i, counted from 1, has the bearer key
/// `key_prefix-i`.
struct caller_group {
  std::string name;
  int callers = 1;
  std::string key_prefix;
  /// Label in the results; the routes table decides the rank itself.
  std::string rank;
  request_kind kind = request_kind::kCompletion;
  std::string path;
  std::string model;
  /// Requests a second of each caller, a Poisson process.
  double rate_per_caller = 1.0;
  std::vector<rate_phase> phases;
  prompt_shape prompt;
  int max_tokens = 16;
  bool stream = true;
  std::string method;
  bool idempotency_key = false;
  int body_bytes = 0;
  latency_targets targets;

  bool operator==(const caller_group&) const = default;
};

/// One run of the load tool.
struct experiment_definition {
  std::string name;
  uint64_t seed = 1;
  milliseconds duration{10000};
  /// Time given to open requests after the last arrival.
  milliseconds drain{10000};
  /// Longest silence before a call counts as broken.
  milliseconds progress_timeout{60000};
  int64_t max_requests = 0;
  int64_t max_in_flight = 0;
  /// Continue a broken stream, or submit a broken keyed call again, at another
  /// node.
  bool resume_broken = true;
  std::vector<endpoint> nodes;
  std::vector<caller_group> groups;

  bool operator==(const experiment_definition&) const = default;
};

/// Reads and checks a definition. Throws config_error with the JSON path.
experiment_definition ParseDefinition(const nlohmann::json& document);

/// Reads `IP:PORT,IP:PORT`. Throws config_error with `path` for an address that
/// is not on the loopback interface: load is for test fleets only.
std::vector<endpoint> ParseNodes(std::string_view text,
                                 const std::string& path);

/// `definition` over `wanted`, its phases stretched in proportion.
experiment_definition ScaledTo(const experiment_definition& definition,
                               milliseconds wanted);

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_EXPERIMENT_DEFINITION_H_

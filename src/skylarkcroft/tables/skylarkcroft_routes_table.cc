#include "skylarkcroft/tables/skylarkcroft_routes_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unordered_set>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft {
namespace {

constexpr size_t kDigestHexDigits = 64;
constexpr int64_t kMaxDurationMs = 7LL * 24 * 3600 * 1000;
constexpr int64_t kMaxConcurrentRequests = 1000000;
constexpr double kMaxRate = 1e9;
constexpr double kMinWeight = 0.001;
constexpr double kMaxWeight = 1000;

bool Contains(const std::vector<std::string>& values, std::string_view target) {
  return std::find(values.begin(), values.end(), target) != values.end();
}

bool IsSha256Digest(const std::string& text) {
  return text.size() == kDigestHexDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

rank ParseRank(const json_reader& reader, std::string_view key,
               const std::string& fallback) {
  const std::string name =
      reader.ChoiceOr(key, {"urgent", "normal", "batch"}, fallback);
  for (const rank value : kAllRanks) {
    if (name == ToString(value)) {
      return value;
    }
  }
  return rank::kNormal;
}

milliseconds ReadMilliseconds(const json_reader& reader, std::string_view key,
                              milliseconds fallback) {
  return milliseconds(reader.IntOr(key, {1, kMaxDurationMs}, fallback.count()));
}

rank_policy ParseRankPolicy(const json_reader& reader,
                            const rank_policy& fallback) {
  rank_policy policy = fallback;
  policy.first_token_target =
      ReadMilliseconds(reader, "first_token_ms", fallback.first_token_target);
  policy.between_tokens_target = ReadMilliseconds(
      reader, "between_tokens_ms", fallback.between_tokens_target);
  policy.deadline = ReadMilliseconds(reader, "deadline_ms", fallback.deadline);
  policy.worth = reader.NumberOr("worth", {0, kMaxRate}, fallback.worth);
  policy.guaranteed_share =
      reader.NumberOr("guaranteed_share", {0, 1}, fallback.guaranteed_share);
  return policy;
}

std::array<rank_policy, kRankCount> DefaultRanks() {
  using std::chrono::hours;
  return {{
      {milliseconds(530), milliseconds(30), milliseconds(30000), 10.0, 0.5},
      {milliseconds(2000), milliseconds(60), milliseconds(120000), 3.0, 0.3},
      {milliseconds(60000), milliseconds(500), hours(12), 1.0, 0.2},
  }};
}

void CheckGuaranteedShares(const std::array<rank_policy, kRankCount>& ranks,
                           const std::string& path) {
  constexpr double kRoundingTolerance = 1e-9;
  double total = 0;
  for (const rank_policy& policy : ranks) {
    total += policy.guaranteed_share;
  }
  if (total > 1 + kRoundingTolerance) {
    throw config_error(path, "guaranteed shares add up to more than 1",
                       "lower them, or set the shares of all three ranks");
  }
}

std::array<rank_policy, kRankCount> ParseRanks(const json_reader& table) {
  std::array<rank_policy, kRankCount> ranks = DefaultRanks();
  std::array<bool, kRankCount> listed{};
  table.Each(
      "ranks", [&](const nlohmann::json& element, const std::string& path) {
        const json_reader reader(element, path,
                                 {"name", "first_token_ms", "between_tokens_ms",
                                  "deadline_ms", "worth", "guaranteed_share"});
        static_cast<void>(reader.Name("name"));
        const size_t index = IndexOf(ParseRank(reader, "name", "normal"));
        if (std::exchange(listed[index], true)) {
          throw config_error(path + ".name",
                             "'" + reader.Name("name") + "' appears twice",
                             "list each rank once");
        }
        ranks[index] = ParseRankPolicy(reader, ranks[index]);
      });
  CheckGuaranteedShares(ranks, table.PathOf("ranks"));
  return ranks;
}

caller_limits ParseLimits(const json_reader& parent) {
  caller_limits limits;
  if (!parent.Has("limits")) {
    return limits;
  }
  const json_reader reader(parent.Member("limits"), parent.PathOf("limits"),
                           {"requests_per_s", "tokens_per_s", "concurrent"});
  limits.requests_per_s = reader.NumberOr("requests_per_s", {0, kMaxRate}, 0);
  limits.tokens_per_s = reader.NumberOr("tokens_per_s", {0, kMaxRate}, 0);
  limits.concurrent =
      reader.IntOr("concurrent", {0, kMaxConcurrentRequests}, 0);
  return limits;
}

caller ParseCaller(const nlohmann::json& element, const std::string& path) {
  const json_reader reader(element, path,
                           {"name", "key_sha256", "weight", "limits"});
  caller parsed;
  parsed.name = reader.Name("name");
  parsed.key_digests = reader.StringsOr("key_sha256", {});
  for (const std::string& digest : parsed.key_digests) {
    if (IsSha256Digest(digest)) {
      continue;
    }
    throw config_error(reader.PathOf("key_sha256"),
                       "'" + digest + "' is not a SHA-256 digest",
                       "write 64 lower-case hexadecimal digits, as printed by "
                       "sha256sum");
  }
  parsed.weight =
      reader.NumberOr("weight", {kMinWeight, kMaxWeight}, parsed.weight);
  parsed.limits = ParseLimits(reader);
  return parsed;
}

idempotency ParseIdempotency(const json_reader& reader) {
  const std::string setting = reader.ChoiceOr(
      "idempotent", {"by_method", "always", "never"}, "by_method");
  if (setting == "always") {
    return idempotency::kAlways;
  }
  return setting == "never" ? idempotency::kNever : idempotency::kByMethod;
}

route ParseRoute(const nlohmann::json& element, const std::string& path) {
  const json_reader reader(
      element, path,
      {"name", "callers", "path_prefix", "methods", "models", "pool", "rank",
       "deadline_ms", "idempotent", "key_required"});
  route parsed;
  parsed.name = reader.Name("name");
  parsed.callers = reader.StringsOr("callers", {});
  parsed.path_prefix = reader.StringOr("path_prefix", parsed.path_prefix);
  if (parsed.path_prefix.empty() || parsed.path_prefix.front() != '/') {
    throw config_error(reader.PathOf("path_prefix"), "does not start with '/'",
                       "start it with '/'");
  }
  parsed.methods = reader.StringsOr("methods", {});
  parsed.models = reader.StringsOr("models", {});
  parsed.pool = reader.Name("pool");
  parsed.work_rank = ParseRank(reader, "rank", "normal");
  if (reader.Has("deadline_ms")) {
    parsed.deadline = ReadMilliseconds(reader, "deadline_ms", milliseconds(0));
  }
  parsed.idempotency_rule = ParseIdempotency(reader);
  parsed.key_required = reader.BoolOr("key_required", false);
  return parsed;
}

void CheckCallers(const std::vector<caller>& callers) {
  std::unordered_set<std::string> names;
  std::unordered_set<std::string> digests;
  size_t index = 0;
  for (const caller& entry : callers) {
    const std::string path = "$.callers[" + std::to_string(index++) + "]";
    if (!names.insert(entry.name).second) {
      throw config_error(path + ".name", "'" + entry.name + "' appears twice",
                         "give each caller its own name");
    }
    for (const std::string& digest : entry.key_digests) {
      if (digests.insert(digest).second) {
        continue;
      }
      throw config_error(path + ".key_sha256",
                         "lists a digest that is already in use",
                         "give each caller its own key");
    }
  }
}

void CheckRoutes(const std::vector<route>& routes,
                 const std::vector<caller>& callers) {
  std::unordered_set<std::string> caller_names;
  for (const caller& entry : callers) {
    caller_names.insert(entry.name);
  }
  std::unordered_set<std::string> names;
  size_t index = 0;
  for (const route& entry : routes) {
    const std::string path = "$.routes[" + std::to_string(index++) + "]";
    if (!names.insert(entry.name).second) {
      throw config_error(path + ".name", "'" + entry.name + "' appears twice",
                         "give each route its own name");
    }
    for (const std::string& name : entry.callers) {
      if (caller_names.count(name) != 0) {
        continue;
      }
      throw config_error(path + ".callers",
                         "caller '" + name + "' does not exist",
                         "add the caller or correct the name");
    }
  }
}

}  // namespace

routes_table::routes_table(std::array<rank_policy, kRankCount> ranks,
                           std::vector<caller> callers,
                           std::vector<route> routes)
    : ranks_(ranks), callers_(std::move(callers)), routes_(std::move(routes)) {
  for (size_t index = 0; index < callers_.size(); ++index) {
    by_name_.emplace(callers_[index].name, index);
    for (const std::string& digest : callers_[index].key_digests) {
      by_digest_.emplace(digest, index);
    }
  }
}

const caller* routes_table::FindByKeyDigest(const std::string& digest) const {
  const auto found = by_digest_.find(digest);
  return found == by_digest_.end() ? nullptr : &callers_[found->second];
}

const caller* routes_table::FindCaller(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &callers_[found->second];
}

const route* routes_table::FindRoute(const std::string& name) const {
  for (const route& candidate : routes_) {
    if (candidate.name == name) {
      return &candidate;
    }
  }
  return nullptr;
}

route_match routes_table::Match(const route_query& query) const {
  bool wrong_method = false;
  for (const route& candidate : routes_) {
    if (!query.path.starts_with(candidate.path_prefix)) {
      continue;
    }
    if (!candidate.callers.empty() &&
        !Contains(candidate.callers, query.caller_name)) {
      continue;
    }
    if (!candidate.models.empty() && !Contains(candidate.models, query.model)) {
      continue;
    }
    if (!candidate.methods.empty() &&
        !Contains(candidate.methods, query.method)) {
      wrong_method = true;
      continue;
    }
    return {&candidate, match_failure::kNone};
  }
  return {nullptr, wrong_method ? match_failure::kMethodNotAllowed
                                : match_failure::kNoRoute};
}

bool routes_table::operator==(const routes_table& other) const {
  return ranks_ == other.ranks_ && callers_ == other.callers_ &&
         routes_ == other.routes_;
}

routes_table ParseRoutesTable(const nlohmann::json& document) {
  const json_reader table(document, "$", {"ranks", "callers", "routes"});
  std::vector<caller> callers;
  table.Each("callers",
             [&](const nlohmann::json& element, const std::string& path) {
               callers.push_back(ParseCaller(element, path));
             });
  std::vector<route> routes;
  table.Each("routes",
             [&](const nlohmann::json& element, const std::string& path) {
               routes.push_back(ParseRoute(element, path));
             });
  CheckCallers(callers);
  CheckRoutes(routes, callers);
  return {ParseRanks(table), std::move(callers), std::move(routes)};
}

}  // namespace skylarkcroft

#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_ROUTES_TABLE_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_ROUTES_TABLE_H_

#include <array>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/tables/skylarkcroft_rank.h"

namespace skylarkcroft {

/// Limits of one caller, summed over all nodes; 0 means no limit.
struct caller_limits {
  double requests_per_s = 0;
  double tokens_per_s = 0;
  /// Requests in flight.
  int64_t concurrent = 0;

  bool operator==(const caller_limits&) const = default;
};

/// A customer, identified by bearer keys. Only the SHA-256 digests of the keys
/// are stored (64 lower-case hexadecimal digits each).
struct caller {
  std::string name;
  std::vector<std::string> key_digests;
  /// Weight in fair queueing within a rank.
  double weight = 1.0;
  caller_limits limits;

  bool operator==(const caller&) const = default;
};

/// Whether the requests of a route are idempotent, so that they may be sent
/// more than once.
enum class idempotency {
  kByMethod,  ///< Idempotent when RFC 9110 defines the method so.
  kAlways,
  kNever,
};

/// Maps the requests that match all of its conditions to a pool.
struct route {
  std::string name;
  /// Names of the callers that match; empty matches every caller.
  std::vector<std::string> callers;
  std::string path_prefix = "/";
  /// HTTP methods that match; empty matches every method.
  std::vector<std::string> methods;
  /// Values of the request's `model` field that match; empty matches every
  /// request.
  std::vector<std::string> models;
  std::string pool;
  rank work_rank = rank::kNormal;
  /// Overrides the deadline of the rank.
  std::optional<milliseconds> deadline;
  idempotency idempotency_rule = idempotency::kByMethod;
  /// Rejects non-idempotent requests that have no Idempotency-Key header.
  bool key_required = false;

  bool operator==(const route&) const = default;
};

/// The properties of a request that routes are matched against.
struct route_query {
  std::string_view caller_name;
  std::string_view method;
  std::string_view path;
  std::string_view model;
};

/// Why no route matched.
enum class match_failure {
  kNone,
  kNoRoute,
  kMethodNotAllowed,  ///< At least one route would match but for its methods.
};

/// The result of looking up a route.
struct route_match {
  /// Null when no route matched.
  const route* found = nullptr;
  match_failure failure = match_failure::kNone;
};

/// The operators' table of ranks, callers and routes. Immutable after
/// construction; each request keeps using the table that was active when it
/// started.
class routes_table {
 public:
  routes_table() = default;
  routes_table(std::array<rank_policy, kRankCount> ranks,
               std::vector<caller> callers, std::vector<route> routes);

  [[nodiscard]] const rank_policy& PolicyOf(rank value) const {
    return ranks_[IndexOf(value)];
  }
  [[nodiscard]] const std::array<rank_policy, kRankCount>& policies() const {
    return ranks_;
  }
  [[nodiscard]] const std::vector<caller>& callers() const { return callers_; }
  [[nodiscard]] const std::vector<route>& routes() const { return routes_; }

  /// The caller with this key digest, or null.
  [[nodiscard]] const caller* FindByKeyDigest(const std::string& digest) const;
  /// The caller named `name`, or null.
  [[nodiscard]] const caller* FindCaller(const std::string& name) const;
  /// The route named `name`, or null.
  [[nodiscard]] const route* FindRoute(const std::string& name) const;
  /// The first route in table order that matches.
  [[nodiscard]] route_match Match(const route_query& query) const;

  bool operator==(const routes_table& other) const;

 private:
  std::array<rank_policy, kRankCount> ranks_;
  std::vector<caller> callers_;
  std::vector<route> routes_;
  std::unordered_map<std::string, size_t> by_digest_;
  std::unordered_map<std::string, size_t> by_name_;
};

/// Parses and validates a routes document (format: docs/tables.md). Throws
/// config_error.
routes_table ParseRoutesTable(const nlohmann::json& document);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_ROUTES_TABLE_H_

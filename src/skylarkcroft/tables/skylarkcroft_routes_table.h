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

/// Limits of one caller over all nodes together; 0 means no limit.
struct caller_limits {
  double requests_per_s = 0;
  double tokens_per_s = 0;
  int64_t concurrent = 0;

  bool operator==(const caller_limits&) const = default;
};

/// A customer of the reseller, known by bearer keys of which only SHA-256
/// digests (64 lower-case hexadecimal digits) are stored.
struct caller {
  std::string name;
  std::vector<std::string> key_digests;
  /// Weight in fair queueing within a rank.
  double weight = 1.0;
  caller_limits limits;

  bool operator==(const caller&) const = default;
};

/// Whether a request may be sent more than once.
enum class idempotency {
  kByMethod,  ///< As RFC 9110 defines for the method.
  kAlways,
  kNever,
};

/// What one named caller or kind of request may reach.
struct route {
  std::string name;
  /// Names of the callers it serves; empty serves all.
  std::vector<std::string> callers;
  std::string path_prefix = "/";
  /// Empty matches every method.
  std::vector<std::string> methods;
  /// Values of the request's `model` it serves; empty matches every request.
  std::vector<std::string> models;
  std::string pool;
  rank work_rank = rank::kNormal;
  /// Replaces the rank's deadline when set.
  std::optional<milliseconds> deadline;
  idempotency repeat = idempotency::kByMethod;
  /// True refuses a non-idempotent request that has no Idempotency-Key.
  bool key_required = false;

  bool operator==(const route&) const = default;
};

/// What a request is matched by.
struct route_query {
  std::string_view caller_name;
  std::string_view method;
  std::string_view path;
  std::string_view model;
};

/// Why no route was found.
enum class match_failure { kNone, kNoRoute, kMethodNotAllowed };

struct route_match {
  const route* found = nullptr;
  match_failure failure = match_failure::kNone;
};

/// The table of routes. Immutable once built; shared by all requests that
/// started under it.
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
  /// The caller called `name`, or null.
  [[nodiscard]] const caller* FindCaller(const std::string& name) const;
  /// The route called `name`, or null.
  [[nodiscard]] const route* FindRoute(const std::string& name) const;
  /// The first route in table order that fits.
  [[nodiscard]] route_match Match(const route_query& query) const;

  bool operator==(const routes_table& other) const;

 private:
  std::array<rank_policy, kRankCount> ranks_;
  std::vector<caller> callers_;
  std::vector<route> routes_;
  std::unordered_map<std::string, size_t> by_digest_;
  std::unordered_map<std::string, size_t> by_name_;
};

/// Reads the document of docs/tables.md. Throws config_error.
routes_table ParseRoutesTable(const nlohmann::json& document);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_ROUTES_TABLE_H_

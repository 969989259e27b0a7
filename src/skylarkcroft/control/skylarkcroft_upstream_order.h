#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_UPSTREAM_ORDER_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_UPSTREAM_ORDER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkcroft {

/// What an engine serves, or should serve. `role` is `prefill`, `decode` or
/// `both`.
struct engine_state {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::string role = "both";
  bool draining = false;

  bool operator==(const engine_state&) const = default;
};

/// True when an engine can change between the two states without loading
/// weights.
bool SameWeights(const engine_state& left, const engine_state& right);

/// An order to an engine. It contains the complete desired state, so that it is
/// idempotent.
struct upstream_order {
  int64_t fence = 0;
  std::string issuer;
  int64_t number = 0;
  engine_state desired;

  bool operator==(const upstream_order&) const = default;
};

/// Last order and current state as reported by an engine, see
/// docs/upstream-protocol.md.
struct order_report {
  int64_t fence = 0;
  std::string issuer;
  int64_t number = 0;
  engine_state actual;
  bool loading = false;

  bool operator==(const order_report&) const = default;
};

/// Encodes the body of `POST /orders`.
std::string EncodeOrder(const upstream_order& order);

/// Parses the response body of `GET /orders`; returns nothing when it is
/// malformed.
std::optional<order_report> ParseOrderReport(std::string_view body);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_UPSTREAM_ORDER_H_

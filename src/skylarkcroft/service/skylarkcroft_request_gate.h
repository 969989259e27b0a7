#ifndef SKYLARKCROFT_SERVICE_SKYLARKCROFT_REQUEST_GATE_H_
#define SKYLARKCROFT_SERVICE_SKYLARKCROFT_REQUEST_GATE_H_

#include <memory>
#include <optional>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/service/skylarkcroft_service_map.h"

namespace skylarkcroft {

/// Longest ages of the tables on which a node may decide.
struct gate_terms {
  /// A key is accepted on tables no older than this, so that a key taken away
  /// is refused everywhere within the operators' revocation bound.
  milliseconds longest_key_age{3500};
  /// A route or key may be called unknown on tables no older than this; later
  /// it may have been added meanwhile.
  milliseconds longest_denial_age{2000};

  bool operator==(const gate_terms&) const = default;
};

enum class gate_verdict {
  kPass,
  kNoRoute,
  kUnknownKey,
  kTablesUnknown,  ///< No tables are known yet.
  kTablesStale,    ///< Tables are too old to decide on.
};

std::string_view ToString(gate_verdict verdict);

/// A request as the gate sees it. `key` is empty where none was sent.
struct gate_request {
  std::string_view host;
  std::string_view path;
  std::optional<std::string_view> key;
};

/// The tables in force as a node knows them.
struct gate_view {
  std::shared_ptr<const service_lookup> tables;
  /// Every change made before this instant is in `tables`.
  std::optional<time_point> current_as_of;
};

struct gate_decision {
  gate_verdict verdict = gate_verdict::kTablesUnknown;
  const service_route* route = nullptr;
  /// Null for an anonymous request.
  const workspace_entry* workspace = nullptr;
  milliseconds tables_age{0};
};

/// Decides whether a request that arrived at `now` is served under the tables.
/// The pointers returned live as long as `view.tables`.
gate_decision DecideGate(const gate_request& request, const gate_view& view,
                         const gate_terms& terms, time_point now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_SERVICE_SKYLARKCROFT_REQUEST_GATE_H_

#ifndef SKYLARKCROFT_SERVICE_SKYLARKCROFT_REQUEST_GATE_H_
#define SKYLARKCROFT_SERVICE_SKYLARKCROFT_REQUEST_GATE_H_

#include <memory>
#include <optional>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/service/skylarkcroft_service_map.h"

namespace skylarkcroft {

/// Maximum ages of the tables at which a node may still accept a key or deny a
/// request.
struct gate_parameters {
  /// A key is accepted only on tables no older than this, so that every node
  /// rejects a revoked key within the operators' time limit for revocations.
  milliseconds max_tables_age_to_accept_key{3500};
  /// A route or key is reported as unknown only on tables no older than this:
  /// it may have been added since older tables were read.
  milliseconds max_tables_age_to_deny{2000};

  bool operator==(const gate_parameters&) const = default;
};

enum class gate_verdict {
  kPass,  ///< Serve the request.
  kNoRoute,
  kUnknownKey,
  kTablesUnknown,  ///< This node has read no tables yet.
  kTablesStale,    ///< The tables are too old for this decision.
};

/// Name of `verdict` in snake_case.
std::string_view ToString(gate_verdict verdict);

/// The parts of a request that decide whether it is served. `key` is empty when
/// the client sent none.
struct gate_request {
  std::string_view host;
  std::string_view path;
  std::optional<std::string_view> key;
};

/// The tables that this node serves by.
struct tables_snapshot {
  std::shared_ptr<const service_lookup> tables;
  /// `tables` contains every change made before this instant; empty when no
  /// tables have been read.
  std::optional<time_point> current_as_of;
};

struct gate_decision {
  gate_verdict verdict = gate_verdict::kTablesUnknown;
  const service_route* route = nullptr;
  /// Null when the request has no known key.
  const workspace_entry* workspace = nullptr;
  milliseconds tables_age{0};
};

/// Decides whether a request that arrived at `now` is served. The pointers in
/// the result are valid as long as `view.tables`.
gate_decision DecideGate(const gate_request& request,
                         const tables_snapshot& view,
                         const gate_parameters& terms, time_point now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_SERVICE_SKYLARKCROFT_REQUEST_GATE_H_

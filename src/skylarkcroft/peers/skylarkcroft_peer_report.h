#ifndef SKYLARKCROFT_PEERS_SKYLARKCROFT_PEER_REPORT_H_
#define SKYLARKCROFT_PEERS_SKYLARKCROFT_PEER_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/duties/skylarkcroft_usage_ledger.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/limits/skylarkcroft_token_quotas.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_load.h"
#include "skylarkcroft/store/skylarkcroft_table_position.h"

namespace skylarkcroft {

/// Value of peer_report::parts for a report of quotas alone, which is sent
/// between the others. Versions that do not know it reject the datagram.
inline constexpr size_t kQuotasOnlyParts = 0;

/// The state that a node sends to every peer, in full each time. Reports may be
/// lost, delayed or duplicated; `sequence` orders the datagrams of one process.
struct peer_report {
  std::string node;
  int64_t incarnation = 0;  ///< Differs with every start of the node.
  int64_t sequence = 0;
  /// Index of this datagram among the `parts` datagrams of the report.
  size_t part = 0;
  size_t parts = 1;
  /// What the sender takes for the time, in milliseconds since the Unix epoch.
  int64_t wall_ms = 0;
  bool is_draining = false;  ///< The sender is draining.
  std::vector<upstream_report> upstreams;
  std::vector<quota_report> quotas;
  std::vector<usage_count> usage;
  /// Versions of the sender's cached copies of the operators' tables and of the
  /// upstreams' table; empty before it has a copy.
  std::optional<table_position> tables_position;
  std::optional<table_position> upstreams_position;

  bool operator==(const peer_report&) const = default;
};

/// Interval between a node's reports to its peers in a deployment of `nodes`
/// nodes. It grows with the number of nodes, so that the bytes per second that
/// a node sends and receives stay bounded.
milliseconds ReportPeriod(size_t nodes);

/// Encodes a report as datagrams that fit into one packet each, since networks
/// lose larger ones. They are numbered consecutively from `report.sequence`.
/// The format is CBOR with positional items. Allotments are rounded down to
/// whole tokens and are all in the first datagram.
std::vector<std::string> EncodeReport(const peer_report& report);

/// Decodes one datagram; returns nothing if `bytes` is not a report.
std::optional<peer_report> DecodeReport(std::string_view bytes);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PEERS_SKYLARKCROFT_PEER_REPORT_H_

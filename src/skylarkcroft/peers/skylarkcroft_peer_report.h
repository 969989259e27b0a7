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
#include "skylarkcroft/limits/skylarkcroft_token_allotments.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_load.h"
#include "skylarkcroft/store/skylarkcroft_table_position.h"

namespace skylarkcroft {

/// What a node tells every peer, each time in full. Reports may be lost, late
/// or repeated; `sequence` orders the datagrams of one process.
struct peer_report {
  std::string node;
  int64_t incarnation = 0;
  int64_t sequence = 0;
  /// Which of how many datagrams this is.
  size_t part = 0;
  size_t parts = 1;
  /// Wall clock of the sender, in milliseconds since the Unix epoch.
  int64_t wall_ms = 0;
  bool leaving = false;
  std::vector<peer_upstream_view> upstreams;
  std::vector<allotment_report> allotments;
  std::vector<usage_count> usage;
  /// The sender's copies of the operators' table and of the upstreams' table.
  std::optional<table_position> tables_position;
  std::optional<table_position> upstreams_position;

  bool operator==(const peer_report&) const = default;
};

/// How often a node tells its peers when there are `nodes` nodes. The bytes
/// that a node sends and receives stay bounded as nodes are added.
milliseconds ReportPeriod(size_t nodes);

/// The whole report as datagrams that fit into one packet each, since networks
/// lose larger ones; numbered from `report.sequence` on. CBOR with positional
/// members; fractions of allotments are left out. Allotments are all in the
/// first datagram.
std::vector<std::string> EncodeReport(const peer_report& report);

/// One datagram; empty when `bytes` is not a report.
std::optional<peer_report> DecodeReport(std::string_view bytes);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PEERS_SKYLARKCROFT_PEER_REPORT_H_

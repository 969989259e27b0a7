#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_PEER_LOADS_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_PEER_LOADS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_load.h"

namespace skylarkcroft {

/// Identifies one datagram of a peer's report. A report on many upstreams is
/// split into several parts; each part replaces the part with the same index of
/// the peer's previous report.
struct report_part_id {
  std::string peer;
  size_t index = 0;
  size_t count = 1;  ///< Number of parts of the report.

  bool operator==(const report_part_id&) const = default;
};

/// The load and the outcomes that all peers report for each upstream. Kept as
/// sums per upstream, so that the cost of placing a request does not depend on
/// the number of peers.
class peer_loads {
 public:
  /// A peer's report is counted until `max_age` after its arrival.
  explicit peer_loads(milliseconds max_age) : max_age_(max_age) {}

  void SetMaxAge(milliseconds max_age) {
    max_age_ = max_age;
    next_expiry_ = {};
  }
  /// Replaces the peer's previous report part with the same index.
  void Set(const report_part_id& id,
           const std::vector<upstream_report>& reports, time_point now);
  /// Removes report parts older than the maximum age from the sums. Must be
  /// called before the sums are read.
  void DropExpired(time_point now);

  /// Sum over all peers of what they report for the upstream whose
  /// UpstreamKey() is `upstream`.
  [[nodiscard]] upstream_report SumFor(uint32_t upstream) const;
  /// Time at which any peer last received a byte from the upstream; empty if
  /// no peer reported one.
  [[nodiscard]] std::optional<time_point> LastByteTime(uint32_t upstream) const;
  /// Number of peers with an unexpired report.
  [[nodiscard]] size_t size() const { return peers_.size(); }
  /// Mean age of the report parts counted, each taken as at most the maximum
  /// age; 0 without any.
  [[nodiscard]] milliseconds MeanAge(time_point now) const;
  /// Age of the oldest report part counted, at most the maximum age; 0 without
  /// any.
  [[nodiscard]] milliseconds MaxAge(time_point now) const;

 private:
  struct part_state {
    time_point received_at{};
    std::vector<upstream_report> reports;
  };
  using peer_state = std::vector<part_state>;

  [[nodiscard]] bool IsExpired(const peer_state& peer, time_point now) const;

  void Subtract(const std::vector<upstream_report>& reports);

  milliseconds max_age_;
  /// No report part expires before this time.
  time_point next_expiry_{};
  std::map<std::string, peer_state> peers_;
  std::unordered_map<uint32_t, upstream_report> sums_;
  std::unordered_map<uint32_t, time_point> last_byte_times_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_PEER_LOADS_H_

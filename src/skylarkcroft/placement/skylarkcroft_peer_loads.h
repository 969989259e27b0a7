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

/// One datagram of a peer's report. A report that names many upstreams is sent
/// in several parts, each of which replaces the same part of the one before.
struct report_part {
  std::string peer;
  size_t part = 0;
  size_t parts = 1;

  bool operator==(const report_part&) const = default;
};

/// What all peers together have at work at each upstream, kept as sums so that
/// a choice costs the same with any number of peers.
class peer_loads {
 public:
  /// A peer's report counts for `life` after it was heard.
  explicit peer_loads(milliseconds life) : life_(life) {}

  void SetLife(milliseconds life) {
    life_ = life;
    next_expiry_ = {};
  }
  /// Replaces what the peer said in that part before.
  void Set(const report_part& of, const std::vector<peer_upstream_view>& views,
           time_point now);
  /// Takes out the peers that have been silent for too long; to be called
  /// before sums are read.
  void Expire(time_point now);

  [[nodiscard]] peer_upstream_view At(uint32_t upstream) const;
  /// When any peer last got a byte from the upstream; empty where none did.
  [[nodiscard]] std::optional<time_point> LastByte(uint32_t upstream) const;
  /// Peers that count.
  [[nodiscard]] size_t size() const { return peers_.size(); }
  /// Mean time since the peers that count were heard; 0 without any.
  [[nodiscard]] milliseconds MeanAge(time_point now) const;
  [[nodiscard]] milliseconds GreatestAge(time_point now) const;

 private:
  struct part_state {
    time_point heard{};
    std::vector<peer_upstream_view> views;
  };
  using peer_state = std::vector<part_state>;

  [[nodiscard]] bool IsSilent(const peer_state& peer, time_point now) const;

  void Subtract(const std::vector<peer_upstream_view>& views);

  milliseconds life_;
  /// No peer expires before this instant.
  time_point next_expiry_{};
  std::map<std::string, peer_state> peers_;
  std::unordered_map<uint32_t, peer_upstream_view> sums_;
  std::unordered_map<uint32_t, time_point> last_bytes_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_PEER_LOADS_H_

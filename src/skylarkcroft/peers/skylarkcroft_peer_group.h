#ifndef SKYLARKCROFT_PEERS_SKYLARKCROFT_PEER_GROUP_H_
#define SKYLARKCROFT_PEERS_SKYLARKCROFT_PEER_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// The other nodes, from the store's list and from what they send.
class peer_group {
 public:
  explicit peer_group(std::string self);

  /// A node in the store's list; it may be long gone.
  void NoteListed(const std::string& name, const endpoint& address,
                  time_point now);
  /// A report came; false when a newer one of the same process came before.
  bool NoteHeard(const std::string& name, const endpoint& address,
                 int64_t incarnation, int64_t sequence, bool leaving,
                 time_point now);

  /// Where reports are sent.
  [[nodiscard]] std::vector<endpoint> Targets(time_point now) const;
  /// Peers that are taken for gone; one that was only cut off hears of this
  /// node again when it gets a report now and then.
  [[nodiscard]] std::vector<endpoint> Lost(time_point now) const;
  /// Peers heard of late.
  [[nodiscard]] std::vector<std::string> Live(time_point now) const;
  /// A peer not heard for this long is not live.
  void SetLiveLimit(milliseconds limit) { live_limit_ = limit; }
  /// Nodes that may be at work, this one included.
  [[nodiscard]] size_t Counted(time_point now) const;

 private:
  struct peer {
    endpoint address;
    int64_t incarnation = 0;
    int64_t sequence = 0;
    bool leaving = false;
    bool heard_ever = false;
    time_point heard{};
    time_point listed{};
  };

  [[nodiscard]] static bool MayBeAtWork(const peer& one, time_point now);

  std::string self_;
  milliseconds live_limit_{700};
  std::map<std::string, peer> peers_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PEERS_SKYLARKCROFT_PEER_GROUP_H_

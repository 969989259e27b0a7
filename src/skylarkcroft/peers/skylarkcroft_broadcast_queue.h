#ifndef SKYLARKCROFT_PEERS_SKYLARKCROFT_BROADCAST_QUEUE_H_
#define SKYLARKCROFT_PEERS_SKYLARKCROFT_BROADCAST_QUEUE_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// A datagram and one of its receivers.
struct broadcast_item {
  endpoint target;
  std::shared_ptr<const std::string> datagram;

  bool operator==(const broadcast_item&) const = default;
};

/// Datagrams to send to many nodes, paced so that they do not fill the link.
class broadcast_queue {
 public:
  explicit broadcast_queue(double bytes_per_second);

  /// Appends each of `datagrams` for each of `targets`.
  void Add(const std::vector<std::string>& datagrams,
           const std::vector<endpoint>& targets);
  /// Removes and returns what is to be sent at `now`.
  std::vector<broadcast_item> NextDue(time_point now);
  [[nodiscard]] bool empty() const { return items_.empty(); }

 private:
  double bytes_per_second_;
  double allowance_;  ///< Bytes that may be sent now.
  std::optional<time_point> last_;
  std::deque<broadcast_item> items_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PEERS_SKYLARKCROFT_BROADCAST_QUEUE_H_

#ifndef LOAD_SKYLARKCROFT_MEMORY_NETWORK_H_
#define LOAD_SKYLARKCROFT_MEMORY_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh_transport.h"

namespace skylarkcroft::load {

/// How a memory network treats messages.
struct memory_network_options {
  /// Share of the messages that are lost.
  double loss = 0;
  milliseconds min_delay{1};
  milliseconds max_delay{5};
  uint64_t seed = 1;
};

/// Carries mesh messages between nodes of one process, on simulated time, with
/// loss, delay, silent links and partitions.
class memory_network {
 public:
  using receive_fn =
      std::function<void(const std::string& bytes, time_point now)>;
  /// True when messages from the first address do not reach the second.
  using cut_fn = std::function<bool(const endpoint&, const endpoint&)>;

  explicit memory_network(memory_network_options options)
      : options_(options), random_(options.seed) {}

  /// Joins `address`; a repeat replaces the receiver.
  std::unique_ptr<mesh_transport> Attach(const endpoint& address,
                                         receive_fn receive);
  void Detach(const endpoint& address) { receivers_.erase(address); }
  void SetCut(cut_fn cut) { cut_ = std::move(cut); }
  void SetLoss(double loss) { options_.loss = loss; }
  /// Loses everything on the present connection between two addresses, until
  /// the sender dials again.
  void Silence(const endpoint& from, const endpoint& to) {
    silent_.insert_or_assign({from, to}, true);
  }

  /// Delivers everything due until `until`, in order of time.
  void Deliver(time_point until);
  [[nodiscard]] time_point now() const { return now_; }

 private:
  class link;
  struct delivery {
    endpoint to;
    std::string bytes;
  };

  void Send(const endpoint& from, const endpoint& to, const std::string& bytes);

  memory_network_options options_;
  std::mt19937_64 random_;
  std::map<endpoint, receive_fn> receivers_;
  std::multimap<time_point, delivery> queue_;
  std::map<std::pair<endpoint, endpoint>, bool> silent_;
  cut_fn cut_;
  time_point now_{};
};

}  // namespace skylarkcroft::load

#endif  // LOAD_SKYLARKCROFT_MEMORY_NETWORK_H_

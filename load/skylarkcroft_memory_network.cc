#include "load/skylarkcroft_memory_network.h"

#include <utility>

namespace skylarkcroft::load {

class memory_network::link : public mesh_transport {
 public:
  link(memory_network& network, endpoint from)
      : network_(network), from_(std::move(from)) {}

  bool Send(const endpoint& to, const std::string& bytes) override {
    network_.Send(from_, to, bytes);
    return true;
  }
  void Redial(const endpoint& to) override {
    network_.silent_.erase({from_, to});
  }

 private:
  memory_network& network_;
  endpoint from_;
};

std::unique_ptr<mesh_transport> memory_network::Attach(const endpoint& address,
                                                       receive_fn receive) {
  receivers_[address] = std::move(receive);
  return std::make_unique<link>(*this, address);
}

void memory_network::Send(const endpoint& from, const endpoint& to,
                          const std::string& bytes) {
  const bool lost =
      std::uniform_real_distribution<double>(0, 1)(random_) < options_.loss;
  if (lost || silent_.contains({from, to}) || (cut_ && cut_(from, to))) {
    return;
  }
  const milliseconds delay(std::uniform_int_distribution<int64_t>(
      options_.min_delay.count(), options_.max_delay.count())(random_));
  queue_.emplace(now_ + delay, delivery{to, bytes});
}

void memory_network::Deliver(time_point until) {
  while (!queue_.empty() && queue_.begin()->first <= until) {
    const auto next = queue_.extract(queue_.begin());
    now_ = next.key();
    const auto receiver = receivers_.find(next.mapped().to);
    if (receiver != receivers_.end()) {
      receiver->second(next.mapped().bytes, now_);
    }
  }
  now_ = until;
}

}  // namespace skylarkcroft::load

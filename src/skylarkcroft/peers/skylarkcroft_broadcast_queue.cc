#include "skylarkcroft/peers/skylarkcroft_broadcast_queue.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

// Sent at once after a pause.
constexpr double kMaxBurstBytes = 16000;
// When more is waiting, the oldest is dropped: receivers ask for what they
// missed.
constexpr size_t kMaxItems = 8192;

}  // namespace

broadcast_queue::broadcast_queue(double bytes_per_second)
    : bytes_per_second_(bytes_per_second), allowance_(kMaxBurstBytes) {}

void broadcast_queue::Add(const std::vector<std::string>& datagrams,
                          const std::vector<endpoint>& targets) {
  for (const std::string& bytes : datagrams) {
    const auto datagram = std::make_shared<const std::string>(bytes);
    for (const endpoint& target : targets) {
      items_.push_back({target, datagram});
    }
  }
  while (items_.size() > kMaxItems) {
    items_.pop_front();
  }
}

std::vector<broadcast_item> broadcast_queue::NextDue(time_point now) {
  const duration elapsed = now - last_.value_or(now);
  last_ = now;
  allowance_ =
      std::min(kMaxBurstBytes,
               allowance_ + bytes_per_second_ *
                                std::chrono::duration<double>(elapsed).count());
  std::vector<broadcast_item> due;
  while (!items_.empty() && allowance_ > 0) {
    allowance_ -= static_cast<double>(items_.front().datagram->size());
    due.push_back(std::move(items_.front()));
    items_.pop_front();
  }
  return due;
}

}  // namespace skylarkcroft

#include "skylarkcroft/relay/skylarkcroft_idle_clients.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

size_t MaxBeforeClosing(const client_capacity& capacity) {
  return static_cast<size_t>(capacity.max_share_before_closing *
                             static_cast<double>(capacity.max_clients));
}

}  // namespace

size_t MaxClients(size_t max_clients, int64_t file_descriptors) {
  // A quarter is left for connections to upstreams, which requests share over
  // time, and kOwnDescriptors for listeners, the store and peers.
  constexpr int64_t kClientParts = 3;
  constexpr int64_t kParts = 4;
  constexpr int64_t kOwnDescriptors = 32;
  if (file_descriptors == 0) {
    return max_clients;
  }
  const int64_t fitting =
      file_descriptors * kClientParts / kParts - kOwnDescriptors;
  return std::min(max_clients,
                  static_cast<size_t>(std::max<int64_t>(fitting, 1)));
}

bool HasExcess(size_t clients, const client_capacity& capacity) {
  return clients > MaxBeforeClosing(capacity);
}

std::vector<uint64_t> ChooseIdleToClose(std::vector<idle_client> idle,
                                        size_t clients,
                                        const client_capacity& capacity,
                                        time_point now) {
  std::vector<uint64_t> closed;
  if (!HasExcess(clients, capacity)) {
    return closed;
  }
  std::erase_if(idle, [&](const idle_client& one) {
    return now - one.idle_since < capacity.min_idle;
  });
  const size_t excess =
      std::min(clients - MaxBeforeClosing(capacity), idle.size());
  std::partial_sort(idle.begin(),
                    idle.begin() + static_cast<std::ptrdiff_t>(excess),
                    idle.end(), [](const idle_client& a, const idle_client& b) {
                      return a.idle_since < b.idle_since;
                    });
  for (size_t i = 0; i < excess; ++i) {
    closed.push_back(idle[i].number);
  }
  return closed;
}

bool MayAwaitRequest(const idle_client& client, time_point now) {
  return now - client.idle_since < kMaxRequestDelay;
}

std::vector<uint64_t> ChooseIdleToLeave(const std::vector<idle_client>& idle,
                                        time_point now) {
  std::vector<uint64_t> closed;
  for (const idle_client& client : idle) {
    if (!MayAwaitRequest(client, now)) {
      closed.push_back(client.number);
    }
  }
  return closed;
}

}  // namespace skylarkcroft

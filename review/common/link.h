#ifndef REVIEW_COMMON_LINK_H_
#define REVIEW_COMMON_LINK_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

#include "review/common/net.h"

namespace review {

/// The path from one machine to one port of the platform: a proxy whose link to
/// the machine can be cut. While it is cut, the proxy's sockets drop what the
/// machine sends before it is acknowledged, so that the machine's own TCP sends
/// it again later, and what the platform sends is held back. New connections
/// get no answer.
class link {
 public:
  explicit link(uint16_t target);
  link(const link&) = delete;
  link& operator=(const link&) = delete;

  [[nodiscard]] uint16_t port() const { return port_; }
  void Cut();
  void Heal();

 private:
  struct path {
    std::shared_ptr<connection> machine;
    std::shared_ptr<connection> platform;
  };

  void Accept();
  void Forward(const path& taken, bool to_platform);
  void SetDropping(int fd) const;

  uint16_t target_;
  int listener_;
  uint16_t port_;
  std::atomic<bool> cut_{false};
  std::mutex lock_;
  std::vector<std::weak_ptr<connection>> machines_;
};

}  // namespace review

#endif  // REVIEW_COMMON_LINK_H_

#ifndef REVIEW_COMMON_RELAY_H_
#define REVIEW_COMMON_RELAY_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

#include "review/common/net.h"

namespace review {

/// What a relay process needs to know.
struct relay_terms {
  std::string name;
  std::string folder;  ///< For its settings and its log.
  uint16_t store_port = 0;
  uint16_t cloud_port = 0;
};

/// A process of the program as deployed, started with the command of the deploy
/// file and settings as the template fills them at a small site.
class relay {
 public:
  explicit relay(const relay_terms& terms);
  ~relay() { Kill(); }
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  void Start();
  void Signal(int number) const;
  void Kill();
  /// Waits until it says that it is ready; false after `limit_ms`.
  [[nodiscard]] bool WaitReady(int64_t limit_ms) const;
  [[nodiscard]] bool HasEnded();
  /// Resident memory in KiB.
  [[nodiscard]] int64_t MemoryKib() const;
  [[nodiscard]] const std::string& name() const { return terms_.name; }
  [[nodiscard]] uint16_t clients() const { return clients_; }
  [[nodiscard]] uint16_t readiness() const { return readiness_; }

 private:
  relay_terms terms_;
  uint16_t clients_;
  uint16_t readiness_;
  uint16_t peers_;
  uint16_t metrics_;
  pid_t pid_ = 0;
};

}  // namespace review

#endif  // REVIEW_COMMON_RELAY_H_

#ifndef SKYLARKCROFT_TESTS_CLIENT_PRESSURE_PRESSURE_WORLD_H_
#define SKYLARKCROFT_TESTS_CLIENT_PRESSURE_PRESSURE_WORLD_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "tests/relay_soak/relay_program.h"

namespace skylarkcroft {

/// Limits of the relay in a pressure test.
struct pressure_terms {
  /// The smallest host that is documented.
  int64_t memory_mb = 120;
  /// Set as the process's limit, too, unless it is 0.
  int64_t file_descriptors = 0;
  size_t body_bytes = 1048576;
};

/// A relay process on loopback with a store and upstreams, which run in a
/// thread of this process.
///
/// Paths: /plain/ answers with a few bytes, /large/ with kLargeBytes, /stream/
/// with kStreamBytes in events, /open-body/ and /open-event/ with kOpenBytes of
/// a body or an event that does not end.
class pressure_world {
 public:
  static constexpr size_t kLargeBytes = 1048576;
  static constexpr size_t kStreamBytes = 4194304;
  /// Just below what the relay keeps of one answer.
  static constexpr size_t kOpenBytes = 4100000;

  explicit pressure_world(const pressure_terms& terms);
  ~pressure_world();
  pressure_world(const pressure_world&) = delete;
  pressure_world& operator=(const pressure_world&) = delete;

  [[nodiscard]] endpoint clients() const { return relay_->clients(); }
  /// Whether an ordinary request is answered with 200. A request that is
  /// refused is sent again until `limit` has passed.
  [[nodiscard]] bool IsServed(milliseconds limit) const;
  /// Whether the process has not ended.
  [[nodiscard]] bool IsRunning() { return !relay_->HasEnded(); }
  /// Waits until the process has taken in what was sent to it: its peak of
  /// memory has not grown for some seconds.
  void Settle() const;
  /// The most memory that the process has had resident (the greatest VmRSS).
  [[nodiscard]] int64_t PeakKib() const { return StatusKib("VmHWM:"); }
  /// The memory that the process has resident now (VmRSS).
  [[nodiscard]] int64_t ResidentKib() const { return StatusKib("VmRSS:"); }
  [[nodiscard]] size_t OpenDescriptors() const;

 private:
  void Serve();
  /// A member of /proc/PID/status. The kernel's record of the greatest VmRSS is
  /// among them, so that no peak falls between two readings.
  [[nodiscard]] int64_t StatusKib(const std::string& member) const;

  pressure_terms terms_;
  std::string folder_;
  std::atomic<bool> stopping_ = false;
  std::atomic<uint16_t> platform_port_ = 0;
  std::thread thread_;
  std::unique_ptr<soak::relay_program> relay_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_CLIENT_PRESSURE_PRESSURE_WORLD_H_

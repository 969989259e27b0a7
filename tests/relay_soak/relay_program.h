#ifndef SKYLARKCROFT_TESTS_RELAY_SOAK_RELAY_PROGRAM_H_
#define SKYLARKCROFT_TESTS_RELAY_SOAK_RELAY_PROGRAM_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"

namespace skylarkcroft::soak {

/// What a relay process is started with.
struct relay_program_terms {
  std::string program;  ///< Path of the built program.
  std::string folder;   ///< Settings and logs go there.
  std::string name;
  std::string availability_zone;
  endpoint platform;
  /// The settings of these names; left out where 0.
  int64_t memory_mb = 0;
  int64_t file_descriptors = 0;

  bool operator==(const relay_program_terms&) const = default;
};

/// A relay as a process of its own on loopback, killed at the latest with this
/// object. It keeps its ports over restarts.
class relay_program {
 public:
  explicit relay_program(const relay_program_terms& terms);
  ~relay_program();
  relay_program(const relay_program&) = delete;
  relay_program& operator=(const relay_program&) = delete;

  void Start();
  void Signal(int number) const;
  /// SIGKILL, and waits for the end.
  void Kill();
  /// Whether the process has ended; notes it.
  bool HasEnded();
  /// Process id; 0 while it does not run.
  [[nodiscard]] pid_t pid() const { return pid_; }
  [[nodiscard]] bool running() const { return pid_ > 0; }
  [[nodiscard]] const endpoint& clients() const { return clients_; }
  [[nodiscard]] const std::string& name() const { return terms_.name; }
  [[nodiscard]] std::string LogPath() const;

 private:
  [[nodiscard]] std::string SettingsPath() const;
  void WriteSettings() const;

  relay_program_terms terms_;
  endpoint clients_;
  endpoint readiness_;
  endpoint peers_;
  endpoint metrics_;
  pid_t pid_ = 0;
};

}  // namespace skylarkcroft::soak

#endif  // SKYLARKCROFT_TESTS_RELAY_SOAK_RELAY_PROGRAM_H_

#ifndef STANDINS_PLATFORM_SKYLARKCROFT_PLATFORM_STANDIN_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_PLATFORM_STANDIN_H_

#include <memory>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "standins/platform/skylarkcroft_platform_options.h"

namespace skylarkcroft {
class event_loop;
}

namespace skylarkcroft::standin {

/// All services of docs/platform-protocol.md and their administration on one
/// port.
class platform_standin {
 public:
  /// Throws network_error when the address cannot be bound. `wall_clock` stamps
  /// the times in reclaim notices.
  platform_standin(event_loop& loop, const platform_options& options,
                   clock_fn clock = SteadyNow,
                   wall_clock_fn wall_clock = WallNowMs);
  ~platform_standin();
  platform_standin(const platform_standin&) = delete;
  platform_standin& operator=(const platform_standin&) = delete;

  /// The bound address, with the actual port.
  [[nodiscard]] const endpoint& address() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_PLATFORM_STANDIN_H_

#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_MOVABLE_STREAMS_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_MOVABLE_STREAMS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_move_plan.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Interface through which the running streams of a node are moved between
/// engines. All methods accept the id of a request that has already ended.
class movable_streams {
 public:
  virtual ~movable_streams() = default;

  /// Streams that are running on the engine at `address`.
  [[nodiscard]] virtual std::vector<running_stream> RunningOn(
      const endpoint& address, time_point now) const = 0;
  /// Until MoveTo or Resume is called, the end of the stream's current attempt
  /// is not treated as a failure. Returns false when there is no attempt to
  /// hold.
  virtual bool HoldAttempt(const std::string& request_id) = 0;
  /// Returns the engine to which the stream should move, or nothing when no
  /// engine can accept it now.
  virtual std::optional<endpoint> ChooseTarget(const std::string& request_id,
                                               time_point now) = 0;
  /// Continues the stream on the engine at `target`. Returns the number of
  /// tokens delivered so far, or nothing when the stream has ended.
  virtual std::optional<int64_t> MoveTo(const std::string& request_id,
                                        const endpoint& target,
                                        time_point now) = 0;
  /// Continues the stream on any engine, or queues it until one is free.
  /// Returns the same as MoveTo.
  virtual std::optional<int64_t> Resume(const std::string& request_id,
                                        time_point now) = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_MOVABLE_STREAMS_H_

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

/// The streams of a node, as far as moving them goes. All calls take a request
/// that has ended meanwhile.
class movable_streams {
 public:
  virtual ~movable_streams() = default;

  /// Streams that run on the engine at `address`.
  [[nodiscard]] virtual std::vector<running_stream> On(
      const endpoint& address, time_point now) const = 0;
  /// Keeps the end of the stream's current try from being taken for a failure,
  /// until MoveTo or Resume. False when there is no try to hold.
  virtual bool Hold(const std::string& request_id) = 0;
  /// Where the stream would go; empty when no engine takes it now.
  virtual std::optional<endpoint> Choose(const std::string& request_id,
                                         time_point now) = 0;
  /// Goes on at the engine at `target`. Returns the tokens delivered before,
  /// or nothing when the stream is gone.
  virtual std::optional<int64_t> MoveTo(const std::string& request_id,
                                        const endpoint& target,
                                        time_point now) = 0;
  /// Goes on at any engine, or waits for one. Returns as MoveTo does.
  virtual std::optional<int64_t> Resume(const std::string& request_id,
                                        time_point now) = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_MOVABLE_STREAMS_H_

#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_REGISTRY_STREAMS_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_REGISTRY_STREAMS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_movable_streams.h"

namespace skylarkcroft {

class request_registry;
class request_run;
class upstream_directory;

/// The running completions of a node's registry as streams that can be moved.
class registry_streams : public movable_streams {
 public:
  registry_streams(request_registry& registry,
                   const upstream_directory& directory)
      : registry_(registry), directory_(directory) {}

  [[nodiscard]] std::vector<running_stream> RunningOn(
      const endpoint& address, time_point now) const override;
  bool HoldAttempt(const std::string& request_id) override;
  std::optional<endpoint> ChooseTarget(const std::string& request_id,
                                       time_point now) override;
  std::optional<int64_t> MoveTo(const std::string& request_id,
                                const endpoint& target,
                                time_point now) override;
  std::optional<int64_t> Resume(const std::string& request_id,
                                time_point now) override;

 private:
  request_run* RunOf(const std::string& request_id);

  request_registry& registry_;
  const upstream_directory& directory_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_REGISTRY_STREAMS_H_

#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_POOL_WINDOWS_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_POOL_WINDOWS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "skylarkcroft/admission/skylarkcroft_concurrency_window.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class admission;
class upstream_directory;

/// Nodes that share the pools, this one included.
using live_nodes_fn = std::function<int64_t()>;

/// The concurrency windows of all pools.
class pool_windows {
 public:
  pool_windows(const upstream_directory& directory, live_nodes_fn live_nodes);

  /// Requests that this node may have running in the pool.
  [[nodiscard]] int64_t CapacityOf(const std::string& pool,
                                   time_point now) const;
  /// Takes in the upstreams' reports and this node's load; called once every
  /// kSamplePeriod.
  void Update(const admission& admit, time_point now);

 private:
  [[nodiscard]] pool_sample SampleOf(const std::string& pool,
                                     const admission& admit,
                                     time_point now) const;

  const upstream_directory& directory_;
  live_nodes_fn live_nodes_;
  std::map<std::string, concurrency_window> windows_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_POOL_WINDOWS_H_

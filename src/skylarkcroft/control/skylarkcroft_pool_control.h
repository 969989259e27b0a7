#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_POOL_CONTROL_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_POOL_CONTROL_H_

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_lease_manager.h"
#include "skylarkcroft/control/skylarkcroft_order_client.h"
#include "skylarkcroft/control/skylarkcroft_order_manager.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class event_loop;
class group_commit;
class http_client;
class table_service;
class active_tables;
class upstream_directory;
class weight_store;

/// Dependencies of pool control; all must outlive it.
struct pool_control_environment {
  event_loop& loop;
  http_client& client;
  table_service& store;
  group_commit& commits;
  weight_store& weights;
  const active_tables& tables;
  const upstream_directory& directory;
  /// Names of the members that are currently alive, including this node.
  std::function<std::vector<std::string>()> members;
  clock_fn clock;
};

/// Pool control of one node: holds leases on pools and sends orders to the
/// engines of pools whose lease it holds. Pools without a deployment are
/// ignored.
class pool_control {
 public:
  pool_control(pool_control_environment environment, const lease_member& self,
               const lease_parameters& parameters,
               const order_settings& settings);

  /// Releases all leases; called on shutdown.
  void Release() { leases_.ReleaseAll(); }

  /// Returns the field `control` of the status document, see docs/control.md.
  [[nodiscard]] nlohmann::json Describe(time_point now) const;

 private:
  [[nodiscard]] std::vector<controlled_pool> Pools() const;
  [[nodiscard]] std::vector<std::string> PoolNames() const;
  [[nodiscard]] order_environment MakeOrderEnvironment();
  [[nodiscard]] int64_t RunningOn(const std::string& pool_name,
                                  const std::string& upstream_name) const;
  [[nodiscard]] bool ReclaimPending(const std::string& pool_name,
                                    const std::string& upstream_name) const;

  pool_control_environment environment_;
  lease_manager leases_;
  order_client order_client_;
  order_manager orders_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_POOL_CONTROL_H_

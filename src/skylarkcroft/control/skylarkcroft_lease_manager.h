#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_MANAGER_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_MANAGER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_pool_lease.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_group_commit.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

/// Dependencies of a lease manager; all must outlive it.
struct lease_environment {
  event_loop& loop;
  table_service& store;
  group_commit& commits;
  /// Names of the members that are currently alive.
  std::function<std::vector<std::string>()> members;
  /// Names of the pools that need a lease holder.
  std::function<std::vector<std::string>()> pools;
  clock_fn clock;
};

/// Counts since the start of the process.
struct lease_counts {
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t takeovers = 0;  ///< Includes acquisitions of new leases.
  uint64_t read_backs = 0;

  bool operator==(const lease_counts&) const = default;
};

/// Acquires, renews, watches and releases this node's leases on pools. While
/// the store is unavailable, held leases expire and none are acquired.
class lease_manager {
 public:
  lease_manager(lease_environment environment, lease_member self,
                const lease_parameters& parameters);
  ~lease_manager();
  lease_manager(const lease_manager&) = delete;
  lease_manager& operator=(const lease_manager&) = delete;

  /// Advances the lease of every pool by one step. Runs automatically every
  /// kTickPeriod.
  void Tick();
  /// Releases all held leases and stops acquiring new ones.
  void ReleaseAll();

  /// Returns the lease of `pool_name`, or null when the pool is not tracked.
  [[nodiscard]] const pool_lease* Find(const std::string& pool_name) const;
  [[nodiscard]] const lease_counts& counts() const { return counts_; }
  [[nodiscard]] const lease_member& self() const { return self_; }

  static constexpr milliseconds kTickPeriod{500};

 private:
  struct tracked_lease;
  using tracked_lease_ptr = std::shared_ptr<tracked_lease>;

  void Advance(const tracked_lease_ptr& tracked);
  void Read(const tracked_lease_ptr& tracked);
  void Write(const tracked_lease_ptr& tracked, lease_step step);
  void TrackPools();

  lease_environment environment_;
  lease_member self_;
  lease_parameters parameters_;
  std::map<std::string, tracked_lease_ptr> leases_;
  lease_counts counts_;
  bool releasing_ = false;
  event_loop::handle_ptr timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_MANAGER_H_

#include "skylarkcroft/control/skylarkcroft_lease_manager.h"

#include <set>
#include <utility>

#include "skylarkcroft/control/skylarkcroft_rendezvous.h"

namespace skylarkcroft {

struct lease_manager::tracked_lease {
  tracked_lease(const std::string& pool_name, const lease_member& self,
                const lease_parameters& parameters)
      : lease(pool_name, self, parameters) {}

  pool_lease lease;
  bool reading = false;
  time_point next_read{};
};

lease_manager::lease_manager(lease_environment environment, lease_member self,
                             const lease_parameters& parameters)
    : environment_(std::move(environment)),
      self_(std::move(self)),
      parameters_(parameters),
      timer_(environment_.loop.Every(kTickPeriod, [this] { Tick(); })) {}

lease_manager::~lease_manager() = default;

void lease_manager::TrackPools() {
  const std::vector<std::string> names = environment_.pools();
  const std::set<std::string> desired(names.begin(), names.end());
  // The lease of a removed pool is not released; it expires.
  std::erase_if(leases_, [&](const auto& entry) {
    return !desired.contains(entry.first);
  });
  for (const std::string& name : desired) {
    if (!leases_.contains(name)) {
      leases_.emplace(
          name, std::make_shared<tracked_lease>(name, self_, parameters_));
    }
  }
}

void lease_manager::Tick() {
  TrackPools();
  for (const auto& [name, tracked] : leases_) {
    Advance(tracked);
  }
}

void lease_manager::Advance(const tracked_lease_ptr& tracked) {
  const time_point now = environment_.clock();
  const size_t position =
      releasing_ ? parameters_.watcher_count
                 : RendezvousPosition(tracked->lease.pool_name(), self_.name,
                                      environment_.members());
  if (tracked->reading || tracked->lease.writing()) {
    return;
  }
  const lease_step step = tracked->lease.NextStep(position, now);
  if (step == lease_step::kIgnore) {
    return;
  }
  if (step != lease_step::kWait) {
    Write(tracked, step);
    return;
  }
  const bool should_read =
      position < parameters_.watcher_count && !tracked->lease.MayAct(now);
  if (should_read && now >= tracked->next_read) {
    Read(tracked);
  }
}

void lease_manager::Read(const tracked_lease_ptr& tracked) {
  tracked->reading = true;
  tracked->next_read = environment_.clock() + parameters_.renew_period;
  ++counts_.reads;
  const std::weak_ptr<bool> alive = alive_;
  environment_.store.Get(LeaseKey(tracked->lease.pool_name()),
                         [this, tracked, alive](const read_result& result) {
                           tracked->reading = false;
                           if (alive.expired()) {
                             return;
                           }
                           tracked->lease.OnRowRead(result,
                                                    environment_.clock());
                         });
}

void lease_manager::Write(const tracked_lease_ptr& tracked, lease_step step) {
  ++counts_.writes;
  const std::weak_ptr<bool> alive = alive_;
  environment_.commits.Write(
      tracked->lease.BeginWrite(step, environment_.clock()),
      [this, tracked, step, alive](row_outcome outcome) {
        if (alive.expired()) {
          return;
        }
        const bool read_back =
            tracked->lease.EndWrite(outcome, environment_.clock());
        if (read_back) {
          ++counts_.read_backs;
          Read(tracked);
          return;
        }
        const bool acquired =
            step == lease_step::kAcquire || step == lease_step::kTakeOver;
        if (acquired && outcome == row_outcome::kCommitted) {
          ++counts_.takeovers;
        }
      });
}

void lease_manager::ReleaseAll() {
  releasing_ = true;
  Tick();
}

const pool_lease* lease_manager::Find(const std::string& pool_name) const {
  const auto found = leases_.find(pool_name);
  return found == leases_.end() ? nullptr : &found->second->lease;
}

}  // namespace skylarkcroft

#include "skylarkcroft/control/skylarkcroft_lease_keeper.h"

#include <set>
#include <utility>

#include "skylarkcroft/control/skylarkcroft_rendezvous.h"

namespace skylarkcroft {

struct lease_keeper::watched {
  watched(const std::string& pool_name, const lease_member& self,
          const lease_terms& terms)
      : lease(pool_name, self, terms) {}

  pool_lease lease;
  bool reading = false;
  time_point next_read{};
};

lease_keeper::lease_keeper(lease_environment environment, lease_member self,
                           const lease_terms& terms)
    : environment_(std::move(environment)),
      self_(std::move(self)),
      terms_(terms),
      timer_(environment_.loop.Every(kTickPeriod, [this] { Tick(); })) {}

lease_keeper::~lease_keeper() = default;

void lease_keeper::AddAndRemove() {
  const std::vector<std::string> names = environment_.pools();
  const std::set<std::string> wanted(names.begin(), names.end());
  // The lease of a pool that is gone runs out by itself.
  std::erase_if(leases_, [&](const auto& entry) {
    return !wanted.contains(entry.first);
  });
  for (const std::string& name : wanted) {
    if (!leases_.contains(name)) {
      leases_.emplace(name, std::make_shared<watched>(name, self_, terms_));
    }
  }
}

void lease_keeper::Tick() {
  AddAndRemove();
  for (const auto& [name, one] : leases_) {
    Look(one);
  }
}

void lease_keeper::Look(const watched_ptr& one) {
  const time_point now = environment_.clock();
  const size_t place = releasing_
                           ? terms_.watchers
                           : RendezvousPlace(one->lease.pool_name(), self_.name,
                                             environment_.members());
  if (one->reading || one->lease.writing()) {
    return;
  }
  const lease_step step = one->lease.Next(place, now);
  if (step == lease_step::kIgnore) {
    return;
  }
  if (step != lease_step::kWait) {
    Write(one, step);
    return;
  }
  const bool watches = place < terms_.watchers && !one->lease.MayAct(now);
  if (watches && now >= one->next_read) {
    Read(one);
  }
}

void lease_keeper::Read(const watched_ptr& one) {
  one->reading = true;
  one->next_read = environment_.clock() + terms_.renew_period;
  ++counts_.reads;
  const std::weak_ptr<bool> alive = alive_;
  environment_.store.Get(LeaseKey(one->lease.pool_name()),
                         [this, one, alive](const read_result& result) {
                           one->reading = false;
                           if (alive.expired()) {
                             return;
                           }
                           one->lease.OnRead(result, environment_.clock());
                         });
}

void lease_keeper::Write(const watched_ptr& one, lease_step step) {
  ++counts_.writes;
  const std::weak_ptr<bool> alive = alive_;
  environment_.commits.Write(one->lease.BeginWrite(step, environment_.clock()),
                             [this, one, step, alive](row_outcome outcome) {
                               if (alive.expired()) {
                                 return;
                               }
                               const bool read_back = one->lease.EndWrite(
                                   outcome, environment_.clock());
                               if (read_back) {
                                 ++counts_.read_backs;
                                 Read(one);
                                 return;
                               }
                               const bool took = step == lease_step::kAcquire ||
                                                 step == lease_step::kTakeOver;
                               if (took && outcome == row_outcome::kCommitted) {
                                 ++counts_.takeovers;
                               }
                             });
}

void lease_keeper::ReleaseAll() {
  releasing_ = true;
  Tick();
}

const pool_lease* lease_keeper::Find(const std::string& pool_name) const {
  const auto found = leases_.find(pool_name);
  return found == leases_.end() ? nullptr : &found->second->lease;
}

}  // namespace skylarkcroft

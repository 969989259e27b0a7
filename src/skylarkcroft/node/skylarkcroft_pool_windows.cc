#include "skylarkcroft/node/skylarkcroft_pool_windows.h"

#include <algorithm>
#include <utility>

#include "skylarkcroft/admission/skylarkcroft_admission.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"

namespace skylarkcroft {

pool_windows::pool_windows(const upstream_directory& directory,
                           live_nodes_fn live_nodes)
    : directory_(directory), live_nodes_(std::move(live_nodes)) {}

int64_t pool_windows::CapacityOf(const std::string& pool,
                                 time_point now) const {
  if (directory_.UnavailableFor(pool, kUnavailableTimeout, now)) {
    return directory_.AdmissionCapacity(pool, now);
  }
  const int64_t slots = directory_.AvailableSlots(pool, now);
  const auto found = windows_.find(pool);
  if (found != windows_.end()) {
    return std::min(slots, found->second.limit());
  }
  const int64_t nodes = std::max<int64_t>(1, live_nodes_());
  return std::min(slots, std::max<int64_t>(1, slots / nodes));
}

pool_sample pool_windows::SampleOf(const std::string& pool,
                                   const admission& admit,
                                   time_point now) const {
  pool_sample sample;
  sample.slots = directory_.AvailableSlots(pool, now);
  sample.running = admit.Running(pool);
  sample.queued = admit.Queued(pool);
  sample.live_nodes = std::max<int64_t>(1, live_nodes_());
  for (const upstream_state& state : directory_.UpstreamsInPool(pool)) {
    if (!state.report || !AcceptsRequests(state, now)) {
      continue;
    }
    sample.reported_running += state.report->running;
    sample.reported_waiting += state.report->waiting;
  }
  return sample;
}

void pool_windows::Update(const admission& admit, time_point now) {
  for (const std::string& pool : directory_.PoolNames()) {
    windows_[pool].Update(SampleOf(pool, admit, now), now);
  }
}

}  // namespace skylarkcroft

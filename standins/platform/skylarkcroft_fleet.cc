#include "standins/platform/skylarkcroft_fleet.h"

#include <algorithm>
#include <utility>

#include "standins/platform/skylarkcroft_cloud.h"
#include "standins/platform/skylarkcroft_lagging_host_list.h"

namespace skylarkcroft::standin {
namespace {

// Every cloud host starts once.
constexpr int64_t kFirstIncarnation = 1;

listed_host ToListed(const cloud_host& host) {
  return {host.id,          host_kind::kUpstream,   host.pool,
          host.address,     host.availability_zone, kFirstIncarnation,
          host_state::kLive};
}

bool Names(const reclaim_order& order, const endpoint& address) {
  return std::find(order.addresses.begin(), order.addresses.end(), address) !=
         order.addresses.end();
}

}  // namespace

fleet::fleet(cloud& machines, lagging_host_list& list)
    : machines_(machines), list_(list) {}

std::optional<cloud_host> fleet::Start(const start_request& request,
                                       time_point now) {
  const auto [machine, started_now] = machines_.Start(request, now);
  if (machine == nullptr) {
    return std::nullopt;
  }
  if (started_now) {
    list_.Add(ToListed(machine->host), machine->runs_at);
  }
  return machine->At(now);
}

bool fleet::End(const std::string& id, time_point now) {
  if (!machines_.End(id, now)) {
    return false;
  }
  const cloud_machine* machine = machines_.Find(id);
  list_.Remove(ToListed(machine->host), std::max(now, machine->runs_at));
  return true;
}

void fleet::Reclaim(const reclaim_order& order, time_point now,
                    int64_t wall_now_ms) {
  const int64_t reclaim_at_ms = wall_now_ms + order.notice.count();
  // Listed hosts first, while the cloud's own still show as not ended.
  ReclaimListed(order, now, reclaim_at_ms);
  ReclaimMachines(order, now, reclaim_at_ms);
}

std::vector<reclaim_notice> fleet::NoticesAfter(int64_t seq) const {
  std::vector<reclaim_notice> later;
  for (const reclaim_notice& notice : notices_) {
    if (notice.seq <= seq) {
      continue;
    }
    later.push_back(notice);
  }
  return later;
}

void fleet::ReclaimMachines(const reclaim_order& order, time_point now,
                            int64_t reclaim_at_ms) {
  for (const cloud_host& host : machines_.Hosts(now)) {
    const bool in_zone =
        host.reclaimable && host.availability_zone == order.availability_zone;
    if (host.state == cloud_host_state::kEnded ||
        !(in_zone || Names(order, host.address))) {
      continue;
    }
    const cloud_machine* machine = machines_.Find(host.id);
    const listed_host listed = ToListed(host);
    list_.Leave(listed, std::max(now, machine->runs_at));
    list_.Remove(listed, std::max(now + order.notice, machine->runs_at));
    machines_.Reclaim(host.id, now + order.notice);
    AddNotice(
        {0, host.id, host.address, host.availability_zone, reclaim_at_ms});
  }
}

void fleet::ReclaimListed(const reclaim_order& order, time_point now,
                          int64_t reclaim_at_ms) {
  for (const listed_host& host : list_.Truth(now).hosts) {
    const bool in_zone = host.availability_zone == order.availability_zone;
    if (machines_.Find(host.id) != nullptr ||
        !(in_zone || Names(order, host.address))) {
      continue;
    }
    list_.Leave(host, now);
    list_.Remove(host, now + order.notice);
    AddNotice(
        {0, host.id, host.address, host.availability_zone, reclaim_at_ms});
  }
}

void fleet::AddNotice(reclaim_notice notice) {
  notice.seq = static_cast<int64_t>(notices_.size()) + 1;
  notices_.push_back(std::move(notice));
}

}  // namespace skylarkcroft::standin

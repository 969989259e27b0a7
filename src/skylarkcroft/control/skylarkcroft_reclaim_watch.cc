#include "skylarkcroft/control/skylarkcroft_reclaim_watch.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {

reclaim_watch::reclaim_watch(reclaim_environment environment,
                             leaving_fn on_leaving)
    : environment_(std::move(environment)), on_leaving_(std::move(on_leaving)) {
  Schedule();
}

reclaim_watch::~reclaim_watch() = default;

void reclaim_watch::Schedule() {
  constexpr double kLeast = 0.75;
  constexpr double kSpread = 0.5;
  const double share = kLeast + kSpread * environment_.random();
  const milliseconds delay(static_cast<milliseconds::rep>(
      static_cast<double>(kPeriod.count()) * share));
  timer_ = environment_.loop.After(delay, [this] {
    Poll();
    Schedule();
  });
}

void reclaim_watch::Poll() {
  const std::weak_ptr<bool> alive = alive_;
  if (!asking_cloud_) {
    asking_cloud_ = true;
    environment_.cloud.Notices(last_seq_,
                               [this, alive](const notices_result& result) {
                                 if (!alive.expired()) {
                                   OnNotices(result);
                                 }
                               });
  }
  if (!asking_hosts_) {
    asking_hosts_ = true;
    environment_.hosts.Fetch([this, alive](const host_list_result& result) {
      if (!alive.expired()) {
        OnHosts(result);
      }
    });
  }
}

void reclaim_watch::OnNotices(const notices_result& result) {
  asking_cloud_ = false;
  const time_point now = environment_.clock();
  const int64_t wall_ms = environment_.wall_clock();
  for (const reclaim_notice& notice : result.notices) {
    last_seq_ = std::max(last_seq_, notice.seq);
    const milliseconds left(notice.reclaim_at_ms - wall_ms);
    Note(notice.address, now + left);
  }
  TellAll();
}

void reclaim_watch::OnHosts(const host_list_result& result) {
  asking_hosts_ = false;
  const time_point now = environment_.clock();
  for (const listed_host& host : result.hosts) {
    if (host.kind == host_kind::kUpstream &&
        host.state == host_state::kLeaving &&
        !leaving_.contains(host.address)) {
      Note(host.address, now + kAssumedNotice);
    }
  }
  TellAll();
}

void reclaim_watch::Note(const endpoint& address, time_point notice_end) {
  const time_point now = environment_.clock();
  // A notice of long ago is about a host that had the address before.
  if (now >= notice_end + kGrace) {
    return;
  }
  const auto [found, added] = leaving_.try_emplace(address, notice_end);
  notices_ += added ? 1 : 0;
  found->second = std::min(found->second, notice_end);
}

void reclaim_watch::TellAll() {
  const time_point now = environment_.clock();
  std::erase_if(leaving_, [now](const auto& entry) {
    return now >= entry.second + kGrace;
  });
  for (const auto& [address, notice_end] : leaving_) {
    on_leaving_(address, notice_end);
  }
}

}  // namespace skylarkcroft

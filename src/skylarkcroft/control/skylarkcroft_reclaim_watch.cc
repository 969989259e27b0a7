#include "skylarkcroft/control/skylarkcroft_reclaim_watch.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {

reclaim_watch::reclaim_watch(reclaim_environment environment,
                             notice_fn on_notice)
    : environment_(std::move(environment)), on_notice_(std::move(on_notice)) {
  Schedule();
}

reclaim_watch::~reclaim_watch() = default;

void reclaim_watch::Schedule() {
  constexpr double kMinShare = 0.75;
  constexpr double kSpread = 0.5;
  const double share = kMinShare + kSpread * environment_.random();
  const milliseconds delay(static_cast<milliseconds::rep>(
      static_cast<double>(kPollPeriod.count()) * share));
  timer_ = environment_.loop.After(delay, [this] {
    Poll();
    Schedule();
  });
}

void reclaim_watch::Poll() {
  const std::weak_ptr<bool> alive = alive_;
  if (!cloud_poll_in_flight_) {
    cloud_poll_in_flight_ = true;
    environment_.cloud.Notices(last_seq_,
                               [this, alive](const notices_result& result) {
                                 if (!alive.expired()) {
                                   OnNotices(result);
                                 }
                               });
  }
  if (!hosts_poll_in_flight_) {
    hosts_poll_in_flight_ = true;
    environment_.hosts.Fetch([this, alive](const host_list_result& result) {
      if (!alive.expired()) {
        OnHosts(result);
      }
    });
  }
}

void reclaim_watch::OnNotices(const notices_result& result) {
  cloud_poll_in_flight_ = false;
  if (!result.available) {
    ReportNotices();
    return;
  }
  const time_point now = environment_.clock();
  const int64_t wall_ms = environment_.wall_clock();
  for (const reclaim_notice& notice : result.notices) {
    last_seq_ = std::max(last_seq_, notice.seq);
    const milliseconds left(notice.reclaim_at_ms - wall_ms);
    RecordNotice(notice.address, now + PlausibleTimeLeft(left));
  }
  polled_ = true;
  ReportNotices();
}

milliseconds reclaim_watch::PlausibleTimeLeft(milliseconds left) const {
  // The first poll returns old notices as well. Later ones return those that
  // were issued since the poll before.
  const bool ended_before_issue = polled_ && left <= -kRepeatPeriod;
  return left > kLongestNotice || ended_before_issue ? kAssumedNotice : left;
}

void reclaim_watch::OnHosts(const host_list_result& result) {
  hosts_poll_in_flight_ = false;
  const time_point now = environment_.clock();
  for (const listed_host& host : result.hosts) {
    if (host.kind == host_kind::kUpstream &&
        host.state == host_state::kLeaving &&
        !notice_ends_.contains(host.address)) {
      RecordNotice(host.address, now + kAssumedNotice);
    }
  }
  ReportNotices();
}

void reclaim_watch::RecordNotice(const endpoint& address,
                                 time_point notice_end) {
  const time_point now = environment_.clock();
  // An old notice refers to a previous host with the same address.
  if (now >= notice_end + kRepeatPeriod) {
    return;
  }
  const auto [found, added] = notice_ends_.try_emplace(address, notice_end);
  notices_ += added ? 1 : 0;
  found->second = std::min(found->second, notice_end);
}

void reclaim_watch::ReportNotices() {
  const time_point now = environment_.clock();
  std::erase_if(notice_ends_, [now](const auto& entry) {
    return now >= entry.second + kRepeatPeriod;
  });
  for (const auto& [address, notice_end] : notice_ends_) {
    on_notice_(address, notice_end);
  }
}

}  // namespace skylarkcroft

#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_RECLAIM_WATCH_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_RECLAIM_WATCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_cloud_api.h"
#include "skylarkcroft/platform/skylarkcroft_host_list.h"

namespace skylarkcroft {

/// Dependencies of a reclaim watch; all must outlive it.
struct reclaim_environment {
  event_loop& loop;
  cloud_api& cloud;
  host_list& hosts;
  /// Uniform in [0, 1); randomizes the poll interval so that nodes do not poll
  /// at the same time.
  std::function<double()> random;
  clock_fn clock;
  wall_clock_fn wall_clock;
};

/// Polls the cloud for reclaim notices and the host list for hosts marked as
/// leaving. Duplicate notices for an address, also from both sources, count as
/// one.
class reclaim_watch {
 public:
  /// Called after each poll for every host with a current notice, also if it
  /// was called for that host before.
  using notice_fn =
      std::function<void(const endpoint& address, time_point notice_end)>;

  reclaim_watch(reclaim_environment environment, notice_fn on_notice);
  ~reclaim_watch();
  reclaim_watch(const reclaim_watch&) = delete;
  reclaim_watch& operator=(const reclaim_watch&) = delete;

  [[nodiscard]] uint64_t notices() const { return notices_; }

  static constexpr milliseconds kPollPeriod{1000};
  /// Assumed length of notice for a host that is marked as leaving in the host
  /// list but has no notice from the cloud, or one whose end this host's wall
  /// clock cannot tell.
  static constexpr milliseconds kAssumedNotice{10000};
  /// Clouds give two minutes of notice at most; where the wall clock shows a
  /// longer time, it is wrong.
  static constexpr milliseconds kLongestNotice{120000};
  /// Time after the end of a notice during which it is still reported.
  static constexpr milliseconds kRepeatPeriod{30000};

 private:
  void Schedule();
  void Poll();
  void OnNotices(const notices_result& result);
  void OnHosts(const host_list_result& result);
  /// The time left of a new notice, of which the wall clock shows `left`.
  [[nodiscard]] milliseconds PlausibleTimeLeft(milliseconds left) const;
  void RecordNotice(const endpoint& address, time_point notice_end);
  void ReportNotices();

  reclaim_environment environment_;
  notice_fn on_notice_;
  std::map<endpoint, time_point> notice_ends_;
  int64_t last_seq_ = 0;
  bool polled_ = false;  ///< Notices have been read before.
  uint64_t notices_ = 0;
  bool cloud_poll_in_flight_ = false;
  bool hosts_poll_in_flight_ = false;
  event_loop::handle_ptr timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_RECLAIM_WATCH_H_

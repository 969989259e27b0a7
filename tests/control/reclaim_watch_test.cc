#include <catch2/catch.hpp>
#include <map>
#include <utility>

#include "skylarkcroft/control/skylarkcroft_reclaim_watch.h"

namespace skylarkcroft {
namespace {

const time_point kStart{std::chrono::hours(1)};
constexpr int64_t kWallMs = 5000000;

class fake_cloud : public cloud_api {
 public:
  explicit fake_cloud(event_loop& loop) : loop_(loop) {}

  void Prices(prices_done_fn /*done*/) override {}
  void StartHost(const start_request& /*request*/,
                 start_done_fn /*done*/) override {}
  void EndHost(const std::string& /*id*/, end_done_fn /*done*/) override {}
  void ListHosts(cloud_hosts_done_fn /*done*/) override {}
  void Notices(int64_t after_seq, notices_done_fn done) override {
    if (fails) {
      loop_.Defer([done = std::move(done)] { done({}); });
      return;
    }
    notices_result result{true, {}};
    for (const reclaim_notice& notice : notices) {
      if (notice.seq > after_seq) {
        result.notices.push_back(notice);
      }
    }
    loop_.Defer([result, done = std::move(done)] { done(result); });
  }

  std::vector<reclaim_notice> notices;
  bool fails = false;

 private:
  event_loop& loop_;
};

class fake_host_list : public host_list {
 public:
  explicit fake_host_list(event_loop& loop) : loop_(loop) {}

  void Fetch(host_list_done_fn done) override {
    ++fetches;
    loop_.Defer([this, done = std::move(done)] {
      done(fails ? host_list_result{} : host_list_result{true, 1, hosts});
    });
  }

  std::vector<listed_host> hosts;
  int fetches = 0;
  bool fails = false;

 private:
  event_loop& loop_;
};

using reported_notices = std::map<endpoint, time_point>;

const endpoint kNoticed{"10.0.0.1", 80};

/// A reclaim watch on a cloud and a host list; keeps what it reports.
class watched_cloud {
 public:
  /// Runs until the host list has been fetched `count` times.
  void RunUntilFetched(int count) {
    for (int turn = 0; turn < 2000 && hosts.fetches < count; ++turn) {
      loop.RunFor(milliseconds(10));
    }
  }

  event_loop loop;
  fake_cloud cloud{loop};
  fake_host_list hosts{loop};
  int64_t wall_ms = kWallMs;
  reported_notices reported;
  reclaim_watch watch{{loop, cloud, hosts, [] { return 0.0; },
                       [] { return kStart; }, [this] { return wall_ms; }},
                      [this](const endpoint& address, time_point notice_end) {
                        reported[address] = notice_end;
                      }};
};

}  // namespace

TEST_CASE("Notices and hosts marked as leaving are reported with their end",
          "[control][reclaim]") {
  watched_cloud run;
  const endpoint listed{"10.0.0.2", 80};
  const endpoint old{"10.0.0.3", 80};
  run.cloud.notices = {{1, "old", old, "a", kWallMs - 60000},
                       {2, "h1", kNoticed, "a", kWallMs + 7000},
                       {3, "h1", kNoticed, "a", kWallMs + 7000}};
  run.hosts.hosts = {
      {"h1", host_kind::kUpstream, "p", kNoticed, "a", 1, host_state::kLeaving},
      {"h2", host_kind::kUpstream, "p", listed, "a", 1, host_state::kLeaving},
      {"h3", host_kind::kUpstream, "p", old, "a", 2, host_state::kLive}};
  run.RunUntilFetched(2);
  CHECK(run.reported ==
        reported_notices{{kNoticed, kStart + milliseconds(7000)},
                         {listed, kStart + reclaim_watch::kAssumedNotice}});
  CHECK(run.watch.notices() == 2);
}

// Guards against hosts that are taken back unnoticed, or seem to stay for
// minutes, because this host's wall clock was stepped.
TEST_CASE("A notice is acted on in time under a wrong wall clock",
          "[control][reclaim][clock_step][regression]") {
  watched_cloud run;
  const int64_t step_ms = GENERATE(-2400000, 2400000);
  run.RunUntilFetched(2);
  run.wall_ms += step_ms;
  run.cloud.notices = {{1, "h1", kNoticed, "a", kWallMs + 7000}};
  run.RunUntilFetched(4);
  CHECK(run.reported ==
        reported_notices{{kNoticed, kStart + reclaim_watch::kAssumedNotice}});
}

// Guards against notices that a failed poll withdraws.
TEST_CASE("A failed poll withdraws no notice", "[control][reclaim]") {
  watched_cloud run;
  run.cloud.notices = {{1, "h1", kNoticed, "a", kWallMs + 7000}};
  run.RunUntilFetched(2);
  run.cloud.fails = true;
  run.hosts.fails = true;
  run.reported.clear();
  run.RunUntilFetched(4);
  CHECK(run.reported ==
        reported_notices{{kNoticed, kStart + milliseconds(7000)}});
}

}  // namespace skylarkcroft

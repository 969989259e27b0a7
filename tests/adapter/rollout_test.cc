#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "platform/platform_documents.h"
#include "platform/platform_duty_calls.h"
#include "platform/platform_names.h"
#include "platform/platform_row_store.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/log/skylarkcroft_logger.h"
#include "skylarkcroft/relay/skylarkcroft_relay_node.h"
#include "tests/adapter/platform_standin.h"
#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

constexpr const char* kConfig = R"({
  "version": 1,
  "routes": [{"name": "r", "host": "shop", "path_prefix": "/a/",
              "kind": "unsafe", "timeout_ms": 2000, "service": "desk",
              "attempts": 1}],
  "services": [{"name": "desk", "health_path": "/health"}],
  "limits": {},
  "tenants": [{"name": "w", "api_keys": ["k1"]}]})";
constexpr milliseconds kRequestInterval{10};

std::string Entry(const endpoint& address, const std::string& version) {
  return R"({"service": "desk", "address": ")" + ToString(address) +
         R"(", "zone": "a", "slots": 8, "state": "ready", "born": 1, )" +
         R"("version": ")" + version + "\"}";
}

/// One node with its clients of the platform, in this process.
class rollout_process {
 public:
  rollout_process(event_loop& loop, const endpoint& platform,
                  const std::string& name, bool with_rollouts)
      : log_(loop, {-1, log_level::kError, 1024}),
        client_(loop),
        store_(client_, platform),
        calls_(client_, platform),
        node_(loop, Settings(platform, name, with_rollouts), MakeAdapter(),
              store_, calls_, log_, SteadyNow, WallNowMs) {}

  [[nodiscard]] endpoint address() const { return node_.clients_address(); }

 private:
  static relay_settings Settings(const endpoint& platform,
                                 const std::string& name, bool with_rollouts) {
    const endpoint any{"127.0.0.1", 0};
    relay_settings settings;
    settings.name = name;
    settings.availability_zone = "a";
    settings.first_start = true;
    settings.listen = {any, any, any, any};
    settings.store = platform;
    settings.cloud = platform;
    settings.bounds.lease = milliseconds(1500);
    if (with_rollouts) {
      settings.bounds.exposure_share = 0.1;
      settings.bounds.exposure_slack = 20;
    }
    return settings;
  }

  static deployment_adapter MakeAdapter() {
    deployment_adapter adapter;
    adapter.operator_tables_table = platform::kOperatorTable;
    adapter.operator_tables_key = platform::kConfigRow;
    adapter.upstreams_table = platform::kUpstreamTable;
    adapter.parse_tables = platform::ReadConfig;
    adapter.parse_upstream = platform::ReadUpstream;
    adapter.rollout_key_prefix = platform::kRolloutPrefix;
    adapter.parse_rollout = platform::ReadRollout;
    adapter.rollout_status = platform::RolloutStatus;
    adapter.names = platform::MakeHeaderNames();
    adapter.readiness_path = platform::kReadinessPath;
    return adapter;
  }

  logger log_;
  http_client client_;
  platform::platform_row_store store_;
  platform::platform_duty_calls calls_;
  relay_node node_;
};

/// Two nodes, four upstreams of the old version and four of the new one, and
/// clients that ask all the time.
class rollout_fixture {
 public:
  explicit rollout_fixture(bool with_rollouts = true) {
    standin.Put("op", "config", kConfig);
    for (size_t i = 0; i < kUpstreams; ++i) {
      old_upstreams.push_back(std::make_unique<scripted_upstream>(loop));
      new_upstreams.push_back(std::make_unique<scripted_upstream>(loop));
    }
    SetStatus(old_upstreams, 200);
    SetStatus(new_upstreams, 200);
    List(old_upstreams, "v1");
    for (const char* name : {"n1", "n2"}) {
      nodes.push_back(std::make_unique<rollout_process>(loop, standin.address(),
                                                        name, with_rollouts));
    }
    REQUIRE(Await([&] { return Sent(old_upstreams) > 200; }));
  }

  void SetStatus(
      const std::vector<std::unique_ptr<scripted_upstream>>& upstreams,
      int status) const {
    for (const auto& upstream : upstreams) {
      upstream->SetHandler(
          [status](const scripted_upstream::received_request& to) {
            to.write(
                "HTTP/1.1 " + std::to_string(status) +
                " Any\r\nX-Attempt-Id: " + to.head.headers.Get("X-Attempt-Id") +
                "\r\nX-Response-Signature: s\r\n"
                "Content-Length: 2\r\n\r\nok");
          });
    }
  }
  void List(const std::vector<std::unique_ptr<scripted_upstream>>& upstreams,
            const std::string& version) {
    for (size_t i = 0; i < upstreams.size(); ++i) {
      standin.Put("servers", version + "-" + std::to_string(i),
                  Entry(upstreams[i]->address(), version));
    }
  }
  void Order(const std::string& version, int period_s) {
    standin.Put("op", "rollout/desk",
                R"({"service":"desk","to":")" + version +
                    R"(","rollout_period_s":)" + std::to_string(period_s) +
                    "}");
  }
  [[nodiscard]] bool HasStatus(const std::string& state,
                               const std::string& version) const {
    return standin.Holds(
        "status", "rollout/desk",
        R"({"state":")" + state + R"(","to":")" + version + "\"}");
  }
  static size_t Sent(
      const std::vector<std::unique_ptr<scripted_upstream>>& upstreams) {
    size_t sum = 0;
    for (const auto& upstream : upstreams) {
      sum += upstream->requests.size();
    }
    return sum;
  }

  /// Asks all the time until `done`, at most `limit`; returns whether it is.
  bool Await(const std::function<bool()>& done,
             milliseconds limit = milliseconds(9000)) {
    const time_point end = SteadyNow() + limit;
    while (!done() && SteadyNow() < end) {
      Ask();
      loop.RunFor(kRequestInterval);
    }
    return done();
  }

  event_loop loop;
  platform_standin standin{loop};
  std::vector<std::unique_ptr<scripted_upstream>> old_upstreams;
  std::vector<std::unique_ptr<scripted_upstream>> new_upstreams;
  std::vector<std::unique_ptr<rollout_process>> nodes;
  /// Requests that were not answered with 200.
  size_t failed = 0;

 private:
  static constexpr size_t kUpstreams = 4;
  static constexpr size_t kClients = 40;

  void Ask() {
    while (clients_.size() >= kClients) {
      // Answered long ago.
      failed += clients_.front()->received.starts_with("HTTP/1.1 200") ? 0 : 1;
      clients_.erase(clients_.begin());
    }
    for (const auto& node : nodes) {
      clients_.push_back(std::make_unique<raw_client>(loop, node->address()));
      clients_.back()->Send(
          "POST /a/x HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: r" +
          std::to_string(++asked_) +
          "\r\nX-Remaining-Milliseconds: 1500\r\nX-Key: k1\r\n"
          "Content-Length: 0\r\n\r\n");
    }
  }

  std::vector<std::unique_ptr<raw_client>> clients_;
  int asked_ = 0;
};

}  // namespace

// Guards against a rollout that misses its period, and against requests that
// are lost or served by a version before its order.
TEST_CASE("A good version takes over all requests within the period",
          "[adapter][rollout]") {
  rollout_fixture on;
  on.List(on.new_upstreams, "v2");
  on.Await([] { return false; }, milliseconds(500));
  CHECK(rollout_fixture::Sent(on.new_upstreams) == 0);
  const size_t failed = on.failed;
  constexpr int kPeriodS = 6;
  on.Order("v2", kPeriodS);
  CHECK(on.Await([&] { return on.HasStatus("running", "v2"); }));
  const time_point ordered_at = SteadyNow();
  REQUIRE(on.Await([&] { return on.HasStatus("completed", "v2"); }));
  CHECK(SteadyNow() - ordered_at < std::chrono::seconds(kPeriodS));
  const size_t sent_to_old = rollout_fixture::Sent(on.old_upstreams);
  const size_t sent_to_new = rollout_fixture::Sent(on.new_upstreams);
  on.Await([] { return false; }, milliseconds(500));
  CHECK(rollout_fixture::Sent(on.old_upstreams) == sent_to_old);
  CHECK(rollout_fixture::Sent(on.new_upstreams) > sent_to_new);
  CHECK(on.failed == failed);
}

TEST_CASE("A bad version is rolled back and gets no further requests",
          "[adapter][rollout]") {
  rollout_fixture on;
  on.SetStatus(on.new_upstreams, 500);
  on.List(on.new_upstreams, "v2");
  on.Order("v2", 8);
  REQUIRE(on.Await([&] { return on.HasStatus("rolled_back", "v2"); }));
  CHECK(on.standin.Has("rollouts", "desk"));
  const size_t sent_to_new = rollout_fixture::Sent(on.new_upstreams);
  // A tenth of some 200 requests a second and the slack.
  CHECK(sent_to_new < 60);
  on.Await([] { return false; }, milliseconds(1000));
  CHECK(rollout_fixture::Sent(on.new_upstreams) == sent_to_new);
}

TEST_CASE("A rollback is announced without the store and written later",
          "[adapter][rollout]") {
  rollout_fixture on;
  on.List(on.new_upstreams, "v2");
  on.Order("v2", 8);
  REQUIRE(
      on.Await([&] { return rollout_fixture::Sent(on.new_upstreams) > 0; }));
  on.standin.fault = store_fault::kRefuse;
  on.SetStatus(on.new_upstreams, 500);
  on.Await([] { return false; }, milliseconds(1000));
  const size_t sent_to_new = rollout_fixture::Sent(on.new_upstreams);
  on.Await([] { return false; }, milliseconds(300));
  CHECK(rollout_fixture::Sent(on.new_upstreams) == sent_to_new);
  CHECK_FALSE(on.HasStatus("rolled_back", "v2"));
  on.standin.fault = store_fault::kNone;
  CHECK(on.Await([&] { return on.HasStatus("rolled_back", "v2"); }));
}

TEST_CASE("Plan and status are written again to a store from an older copy",
          "[adapter][rollout]") {
  rollout_fixture on;
  on.standin.era = 1;
  on.List(on.new_upstreams, "v2");
  on.SetStatus(on.new_upstreams, 500);
  on.Order("v2", 8);
  on.Await([] { return false; }, milliseconds(50));
  on.standin.MakeCopy();
  REQUIRE(on.Await([&] { return on.HasStatus("rolled_back", "v2"); }));
  on.standin.RestoreCopy();
  CHECK_FALSE(on.HasStatus("rolled_back", "v2"));
  const size_t sent_to_new = rollout_fixture::Sent(on.new_upstreams);
  CHECK(on.Await([&] { return on.HasStatus("rolled_back", "v2"); }));
  CHECK(rollout_fixture::Sent(on.new_upstreams) == sent_to_new);
}

// Guards against a rollout that ends with its holder.
TEST_CASE("The next holder of the lease ends a rollout",
          "[adapter][rollout][holder]") {
  rollout_fixture on;
  on.List(on.new_upstreams, "v2");
  on.Order("v2", 10);
  REQUIRE(
      on.Await([&] { return rollout_fixture::Sent(on.new_upstreams) > 0; }));
  const std::string first_holder = on.standin.cloud_calls.empty()
                                       ? "n1"
                                       : on.standin.cloud_calls.back().holder;
  on.nodes.erase(on.nodes.begin() + (first_holder == "n1" ? 0 : 1));
  const time_point stopped_at = SteadyNow();
  REQUIRE(on.Await([&] { return on.HasStatus("completed", "v2"); },
                   milliseconds(12000)));
  CHECK(SteadyNow() - stopped_at < milliseconds(10000));
}

TEST_CASE("A second order ends the first one", "[adapter][rollout]") {
  rollout_fixture on;
  on.List(on.new_upstreams, "v2");
  on.Order("v2", 10);
  REQUIRE(
      on.Await([&] { return rollout_fixture::Sent(on.new_upstreams) > 0; }));
  on.Order("v3", 3);
  REQUIRE(on.Await([&] { return on.HasStatus("running", "v3"); }));
  on.Await([] { return false; }, milliseconds(300));
  const size_t sent_to_new = rollout_fixture::Sent(on.new_upstreams);
  // There are no upstreams of the third version.
  CHECK(on.Await([&] { return on.HasStatus("rolled_back", "v3"); }));
  CHECK(rollout_fixture::Sent(on.new_upstreams) == sent_to_new);
}

TEST_CASE("Without its bounds a deployment has no rollouts",
          "[adapter][rollout]") {
  rollout_fixture on(false);
  on.Order("v2", 4);
  on.List(on.new_upstreams, "v2");
  // Requests pile up at the old upstreams, so that the others are chosen by
  // their load: at idle upstreams the choice is left to chance.
  for (const auto& upstream : on.old_upstreams) {
    upstream->SetHandler([](const scripted_upstream::received_request&) {});
  }
  CHECK(on.Await([&] { return rollout_fixture::Sent(on.new_upstreams) > 0; }));
  CHECK_FALSE(on.standin.Has("status", "rollout/desk"));
}

}  // namespace skylarkcroft

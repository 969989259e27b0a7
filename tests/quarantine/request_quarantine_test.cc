#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "skylarkcroft/quarantine/skylarkcroft_request_quarantine.h"

namespace skylarkcroft {
namespace {

constexpr request_key kDeadly = 7;
constexpr request_key kOther = 8;

// A node with a clock of its own.
class test_node {
 public:
  test_node() : test_node(request_quarantine_parameters{}) {}
  explicit test_node(const request_quarantine_parameters& parameters)
      : quarantine(parameters, [this](const request_quarantine_event& event) {
          events.emplace_back(event.what);
        }) {}

  void Pass(milliseconds span) {
    constexpr milliseconds kTick{100};
    for (milliseconds passed{0}; passed < span; passed += kTick) {
      now += kTick;
      quarantine.Tick(now);
    }
  }
  // The upstream breaks off a request that was sent `run_time` before.
  void Crash(uint32_t upstream, request_key request,
             milliseconds run_time = milliseconds(50)) {
    quarantine.RecordCrash(upstream, request, now - run_time, now);
  }
  // Three crashes and the time until they are certain.
  void Quarantine(request_key request) {
    for (const uint32_t upstream : {1, 2, 3}) {
      Crash(upstream, request);
      Pass(milliseconds(200));
    }
    Pass(milliseconds(1000));
  }
  [[nodiscard]] bool IsAllowed(request_key request) const {
    return quarantine.Decide(request, now).decision ==
           quarantine_decision::kAllowed;
  }

  time_point now{std::chrono::hours(1)};
  std::vector<std::string> events;
  request_quarantine quarantine;
};

constexpr milliseconds kMinute{60000};
constexpr milliseconds kFirstQuarantine =
    request_quarantine_parameters{}.first_quarantine;

}  // namespace

// Guards against a request that ends engine after engine, whatever its kind.
TEST_CASE("A request under which three upstreams crashed is rejected",
          "[quarantine][request]") {
  test_node node;
  node.Crash(1, kDeadly);
  node.Pass(milliseconds(2000));
  node.Crash(2, kDeadly, milliseconds(1500));
  CHECK(node.IsAllowed(kDeadly));
  node.Pass(milliseconds(2000));
  node.Crash(3, kDeadly);
  const quarantine_verdict verdict = node.quarantine.Decide(kDeadly, node.now);
  CHECK(verdict.decision == quarantine_decision::kRequestCrashed);
  CHECK(verdict.remaining == kFirstQuarantine);
  CHECK(node.IsAllowed(kOther));
  node.Pass(kFirstQuarantine - kMinute);
  CHECK_FALSE(node.IsAllowed(kDeadly));
  CHECK(node.events == std::vector<std::string>{"quarantined"});
}

TEST_CASE("The repeat that crashes the next upstream at once counts",
          "[quarantine][request]") {
  test_node node;
  for (const uint32_t upstream : {1, 2, 3}) {
    node.Crash(upstream, kDeadly, milliseconds(20));
    node.now += milliseconds(20);
  }
  CHECK_FALSE(node.IsAllowed(kDeadly));
}

TEST_CASE("Upstreams that crash together count once", "[quarantine][request]") {
  test_node node;
  for (const uint32_t upstream : {1, 2, 3, 4}) {
    node.Crash(upstream, kOther, milliseconds(500));
    node.now += milliseconds(5);
  }
  CHECK(node.IsAllowed(kOther));
}

TEST_CASE("One upstream counts twice if it crashes again after its return",
          "[quarantine][request]") {
  test_node node;
  node.Crash(1, kDeadly);
  node.Crash(1, kDeadly);
  node.now += milliseconds(10);
  node.Crash(1, kDeadly);
  CHECK(node.IsAllowed(kDeadly));
  for (int i = 0; i < 2; ++i) {
    node.Pass(milliseconds(3000));
    node.Crash(1, kDeadly);
  }
  CHECK_FALSE(node.IsAllowed(kDeadly));
}

TEST_CASE("A success between the crashes clears a request",
          "[quarantine][request]") {
  test_node node;
  node.Crash(1, kOther);
  node.Pass(milliseconds(3000));
  node.Crash(2, kOther);
  node.quarantine.RecordSuccess(kOther, node.now);
  node.Pass(milliseconds(3000));
  node.Crash(3, kOther);
  node.Pass(milliseconds(3000));
  node.Crash(4, kOther);
  CHECK(node.IsAllowed(kOther));
  CHECK(node.quarantine.TakeNotice().successes.size() == 1);
}

TEST_CASE("A request with a recent success is not suspected",
          "[quarantine][request]") {
  test_node node;
  node.quarantine.RecordSuccess(kOther, node.now);
  for (const uint32_t upstream : {1, 2, 3}) {
    node.Crash(upstream, kOther);
    node.Pass(milliseconds(200));
  }
  CHECK(node.IsAllowed(kOther));
  CHECK(node.quarantine.SuspectCount() == 0);
}

TEST_CASE("A success of an attempt on its way ends the quarantine",
          "[quarantine][request]") {
  test_node node;
  node.Quarantine(kOther);
  REQUIRE_FALSE(node.IsAllowed(kOther));
  node.quarantine.RecordSuccess(kOther, node.now);
  CHECK(node.IsAllowed(kOther));
  CHECK(node.events == std::vector<std::string>{"quarantined", "cleared"});
}

TEST_CASE("Bytes of the upstream show that one response broke off",
          "[quarantine][request]") {
  test_node node;
  for (const uint32_t upstream : {1, 2, 3}) {
    node.Crash(upstream, kOther);
    node.Pass(milliseconds(100));
    CHECK(node.quarantine.HasUnconfirmedCrashes(node.now));
    node.quarantine.RecordByte(upstream, node.now);
    node.Pass(milliseconds(500));
    CHECK_FALSE(node.quarantine.HasUnconfirmedCrashes(node.now));
  }
  CHECK(node.IsAllowed(kOther));
}

TEST_CASE("Bytes that were on their way show nothing",
          "[quarantine][request]") {
  test_node node;
  for (const uint32_t upstream : {1, 2, 3}) {
    node.Crash(upstream, kDeadly);
    node.now += milliseconds(5);
    node.quarantine.RecordByte(upstream, node.now);
    node.Pass(milliseconds(1000));
    node.quarantine.RecordByte(upstream, node.now);
  }
  CHECK_FALSE(node.IsAllowed(kDeadly));
}

// Guards against bytes that a busy node reads after the crash, which look like
// a sign of life of the upstream.
TEST_CASE("Bytes mean nothing if several requests broke off together",
          "[quarantine][request]") {
  test_node node;
  for (const uint32_t upstream : {1, 2, 3}) {
    node.Crash(upstream, kDeadly);
    node.now += milliseconds(5);
    node.Crash(upstream, kOther + upstream);
    node.Pass(milliseconds(100));
    node.quarantine.RecordByte(upstream, node.now);
    node.quarantine.OnNotice({{}, {}, {upstream}, {}, {}}, node.now);
    node.Pass(milliseconds(1000));
  }
  CHECK_FALSE(node.IsAllowed(kDeadly));
  CHECK(node.quarantine.TakeNotice().alive.empty());
}

TEST_CASE("Bytes that a peer got end the suspicion here as well",
          "[quarantine][request]") {
  test_node node;
  for (const uint32_t upstream : {1, 2, 3}) {
    node.Crash(upstream, kOther);
    node.Pass(milliseconds(300));
    node.quarantine.OnNotice({{}, {}, {upstream}, {}, {}}, node.now);
  }
  CHECK(node.IsAllowed(kOther));
}

// Guards against rejecting the requests that happened to run beside a deadly
// one, as each crash breaks all requests of its upstream.
TEST_CASE("Crashes of a quarantined request are not held against others",
          "[quarantine][request]") {
  test_node node;
  for (const uint32_t upstream : {1, 2, 3}) {
    node.Crash(upstream, kDeadly);
    if (upstream != 3) {
      node.Crash(upstream, kOther);
    }
    node.Pass(milliseconds(200));
  }
  node.Pass(milliseconds(1000));
  REQUIRE_FALSE(node.IsAllowed(kDeadly));
  CHECK(node.quarantine.SuspectCount() == 0);
  // One that was on its way, with the others before and after it.
  for (const uint32_t upstream : {4, 5, 6}) {
    node.Crash(upstream, kOther);
    node.Crash(upstream, kDeadly);
    node.Crash(upstream, kOther + 1);
    node.Pass(milliseconds(2000));
  }
  CHECK(node.IsAllowed(kOther));
  CHECK(node.IsAllowed(kOther + 1));
}

TEST_CASE("Crashes of a quarantined part are not held against requests",
          "[quarantine][request]") {
  test_node node;
  test_node peer;
  for (const uint32_t upstream : {1, 2, 3}) {
    node.quarantine.ExplainCrash(upstream, node.now);
    node.Crash(upstream, kOther);
    peer.now = node.now;
    peer.Crash(upstream, kOther);
    peer.quarantine.OnNotice(node.quarantine.TakeNotice(), peer.now);
    node.Pass(milliseconds(1500));
  }
  CHECK(node.IsAllowed(kOther));
  CHECK(peer.IsAllowed(kOther));
}

// Guards against prompt parts that are accused by the crashes of one request.
TEST_CASE("The crash of a quarantined request is known as explained",
          "[quarantine][request]") {
  test_node node;
  test_node peer;
  node.Quarantine(kDeadly);
  peer.now = node.now;
  node.Crash(4, kOther);
  CHECK_FALSE(node.quarantine.IsExplained(4, node.now));
  node.Crash(4, kDeadly);
  CHECK(node.quarantine.IsExplained(4, node.now));
  CHECK_FALSE(node.quarantine.IsExplained(5, node.now));
  peer.quarantine.OnNotice(node.quarantine.TakeNotice(), peer.now);
  CHECK(peer.quarantine.IsExplained(4, peer.now));
  node.Pass(milliseconds(3000));
  CHECK_FALSE(node.quarantine.IsExplained(4, node.now));
}

// Guards against two requests that crash upstreams hiding each other.
TEST_CASE("Two requests that crash the same upstreams are both rejected",
          "[quarantine][request]") {
  test_node node;
  for (const uint32_t upstream : {1, 2, 3}) {
    node.Crash(upstream, kDeadly);
    node.Crash(upstream, kOther);
    node.Pass(milliseconds(200));
  }
  node.Pass(milliseconds(1000));
  CHECK_FALSE(node.IsAllowed(kDeadly));
  CHECK_FALSE(node.IsAllowed(kOther));
}

TEST_CASE("A request that only ran beside others that crash upstreams goes on",
          "[quarantine][request]") {
  test_node node;
  constexpr request_key kFirst = 20;
  constexpr request_key kSecond = 21;
  for (const uint32_t upstream : {1, 2, 3, 4, 5, 6}) {
    node.Crash(upstream, upstream % 2 == 0 ? kFirst : kSecond);
    if (upstream <= 3) {
      node.Crash(upstream, kOther);
    }
    node.now += milliseconds(60);
  }
  node.Pass(milliseconds(1000));
  CHECK_FALSE(node.IsAllowed(kFirst));
  CHECK_FALSE(node.IsAllowed(kSecond));
  CHECK(node.IsAllowed(kOther));
}

// Guards against accusing all requests while the upstreams crash for another
// reason.
TEST_CASE("Many requests with as many crashes are not rejected",
          "[quarantine][request]") {
  test_node node;
  constexpr request_key kRequests = 40;
  uint32_t upstream = 0;
  for (int round = 0; round < 3; ++round) {
    for (request_key request = 1; request <= kRequests; ++request) {
      node.Crash(++upstream, request);
    }
    node.Pass(milliseconds(200));
  }
  node.Pass(milliseconds(1000));
  CHECK(node.IsAllowed(kDeadly));
  CHECK(node.quarantine.QuarantineCount() == 0);
  // One that goes on to crash them has soon more crashes than the others.
  node.Crash(++upstream, kDeadly);
  node.Pass(milliseconds(1000));
  CHECK_FALSE(node.IsAllowed(kDeadly));
  CHECK(node.quarantine.QuarantineCount() == 1);
}

TEST_CASE("One crash after the quarantine brings it back, for longer",
          "[quarantine][request]") {
  test_node node;
  node.Quarantine(kDeadly);
  node.Pass(kFirstQuarantine);
  REQUIRE(node.IsAllowed(kDeadly));
  node.quarantine.RecordSending(kDeadly, node.now);
  node.Pass(milliseconds(1000));
  node.Crash(4, kDeadly);
  CHECK_FALSE(node.IsAllowed(kDeadly));
  node.Pass(5 * kFirstQuarantine);
  CHECK_FALSE(node.IsAllowed(kDeadly));
  CHECK(node.events == std::vector<std::string>{"quarantined", "lapsed",
                                                "tried", "quarantined"});
}

// Guards against several sendings of a deadly request after its quarantine.
TEST_CASE("After the quarantine one node sends the request once",
          "[quarantine][request]") {
  test_node node;
  test_node peer;
  node.Quarantine(kDeadly);
  peer.now = node.now;
  peer.quarantine.OnNotice({{}, {}, {}, {}, node.quarantine.Report(node.now)},
                           peer.now);
  REQUIRE_FALSE(peer.IsAllowed(kDeadly));
  node.Pass(kFirstQuarantine);
  peer.Pass(kFirstQuarantine);
  REQUIRE(node.IsAllowed(kDeadly));
  REQUIRE(peer.IsAllowed(kDeadly));
  static_cast<void>(node.quarantine.TakeNotice());
  node.quarantine.RecordSending(kDeadly, node.now);
  peer.quarantine.OnNotice(node.quarantine.TakeNotice(), peer.now);
  CHECK_FALSE(node.IsAllowed(kDeadly));
  CHECK_FALSE(peer.IsAllowed(kDeadly));
  SECTION("its success clears it everywhere") {
    node.Pass(milliseconds(1000));
    peer.Pass(milliseconds(1000));
    node.quarantine.RecordSuccess(kDeadly, node.now);
    peer.quarantine.OnNotice(node.quarantine.TakeNotice(), peer.now);
    CHECK(node.IsAllowed(kDeadly));
    CHECK(peer.IsAllowed(kDeadly));
  }
  SECTION("its crash quarantines it everywhere") {
    node.Pass(milliseconds(1000));
    peer.Pass(milliseconds(1000));
    node.Crash(4, kDeadly);
    peer.quarantine.OnNotice(node.quarantine.TakeNotice(), peer.now);
    node.Pass(kFirstQuarantine);
    peer.Pass(kFirstQuarantine);
    CHECK_FALSE(node.IsAllowed(kDeadly));
    CHECK_FALSE(peer.IsAllowed(kDeadly));
  }
  SECTION("it is tried again if neither is known") {
    node.Pass(kMinute);
    peer.Pass(kMinute);
    CHECK(node.IsAllowed(kDeadly));
    CHECK(peer.IsAllowed(kDeadly));
  }
}

TEST_CASE("A request that was sound before is tried again soon",
          "[quarantine][request]") {
  test_node node;
  node.quarantine.RecordSuccess(kOther, node.now);
  node.Pass(milliseconds(5000));
  node.Quarantine(kOther);
  REQUIRE_FALSE(node.IsAllowed(kOther));
  SECTION("by the node that knows it") {
    node.Pass(milliseconds(10000));
    CHECK(node.IsAllowed(kOther));
  }
  SECTION("by a peer that quarantined it without knowing it") {
    test_node peer;
    peer.now = node.now - milliseconds(2000);
    peer.Quarantine(kOther);
    peer.now = node.now;
    REQUIRE_FALSE(peer.IsAllowed(kOther));
    static_cast<void>(node.quarantine.TakeNotice());
    node.quarantine.OnNotice({{}, {}, {}, {}, peer.quarantine.Report(peer.now)},
                             node.now);
    node.Pass(milliseconds(200));
    peer.quarantine.OnNotice(node.quarantine.TakeNotice(), peer.now);
    peer.Pass(milliseconds(12000));
    CHECK(peer.IsAllowed(kOther));
  }
}

TEST_CASE("A peer learns of all crashes with the latest one",
          "[quarantine][request]") {
  test_node node;
  test_node peer;
  node.Crash(1, kDeadly);
  node.Pass(milliseconds(500));
  node.Crash(2, kDeadly);
  node.Pass(milliseconds(500));
  static_cast<void>(node.quarantine.TakeNotice());
  node.Crash(3, kDeadly);
  peer.now = node.now;
  peer.quarantine.OnNotice(node.quarantine.TakeNotice(), peer.now);
  CHECK_FALSE(peer.IsAllowed(kDeadly));
}

TEST_CASE("A node that knows a success tells those that know a crash",
          "[quarantine][request]") {
  test_node node;
  test_node peer;
  peer.quarantine.RecordSuccess(kOther, peer.now);
  node.Crash(1, kOther);
  peer.quarantine.OnNotice(node.quarantine.TakeNotice(), peer.now);
  peer.Pass(milliseconds(100));
  const request_notice told = peer.quarantine.TakeNotice();
  REQUIRE(told.successes.size() == 1);
  node.quarantine.OnNotice(told, node.now + milliseconds(100));
  CHECK(node.quarantine.SuspectCount() == 0);
  // Once for many crashes.
  peer.quarantine.OnNotice(
      {{{2, kOther, milliseconds(0), milliseconds(50)}}, {}, {}, {}, {}},
      peer.now);
  peer.Pass(milliseconds(100));
  CHECK(peer.quarantine.TakeNotice().empty());
}

TEST_CASE("A node tells a bounded number of crashes per second",
          "[quarantine][request][bounds]") {
  test_node node;
  constexpr request_key kRequests = 1000;
  for (request_key request = 1; request <= kRequests; ++request) {
    node.Crash(1, request);
  }
  const request_quarantine_parameters parameters;
  CHECK(node.quarantine.TakeNotice().crashes.size() ==
        static_cast<size_t>(parameters.max_told_crashes_per_second));
  // Requests that crashed before are told all the same.
  node.now += milliseconds(200);
  node.Crash(2, 1);
  CHECK(node.quarantine.TakeNotice().crashes.size() == 2);
}

TEST_CASE("The memory of a node is bounded", "[quarantine][request][bounds]") {
  constexpr size_t kMaxBytes = 2 << 20;
  constexpr request_key kRequests = 100000;
  test_node node;
  node.Crash(1, kDeadly);
  node.Pass(milliseconds(2000));
  node.Crash(2, kDeadly);
  for (request_key request = 1; request <= kRequests; ++request) {
    node.now += milliseconds(1);
    node.Crash(100 + static_cast<uint32_t>(request), kOther + request);
    node.quarantine.RecordSuccess(kRequests + kOther + request, node.now);
  }
  CHECK(node.quarantine.SuspectCount() <=
        request_suspects_parameters{}.max_requests);
  CHECK(node.quarantine.MemoryBytes() <= kMaxBytes);
  // Crashed twice, it outlasts those with one crash.
  node.Crash(3, kDeadly);
  CHECK_FALSE(node.IsAllowed(kDeadly));
}

TEST_CASE("Quarantines are bounded and the latest stay",
          "[quarantine][request][bounds]") {
  test_node node;
  request_quarantine_parameters parameters;
  for (request_key request = 1; request <= 2 * parameters.max_quarantined;
       ++request) {
    node.quarantine.OnNotice(
        {{}, {}, {}, {}, {{request, milliseconds(0), kFirstQuarantine, 0}}},
        node.now);
    node.now += milliseconds(1);
  }
  CHECK(node.quarantine.QuarantineCount() == parameters.max_quarantined);
  CHECK_FALSE(node.IsAllowed(2 * parameters.max_quarantined));
  const request_notice report{{}, {}, {}, {}, node.quarantine.Report(node.now)};
  CHECK(report.quarantined.size() == parameters.max_reported);
  CHECK(EncodeRequestNotice(report).size() == 1);
}

TEST_CASE("A node without its peers rejects nothing that it has not seen crash",
          "[quarantine][request]") {
  test_node node;
  node.Pass(kMinute);
  CHECK(node.IsAllowed(kDeadly));
  CHECK(node.quarantine.Entries(node.now).empty());
}

// Guards against a request that all nodes send again in the moment in which its
// block ends.
TEST_CASE("After a block one node tries a request and the others reject it",
          "[quarantine][request][regression]") {
  request_quarantine_parameters parameters;
  parameters.crashes_to_block = 2;
  test_node first(parameters);
  test_node second(parameters);
  for (const uint32_t upstream : {1, 2}) {
    first.Crash(upstream, kDeadly);
    first.Pass(milliseconds(200));
    second.Pass(milliseconds(200));
    second.quarantine.OnNotice(first.quarantine.TakeNotice(), second.now);
  }
  REQUIRE_FALSE(first.IsAllowed(kDeadly));
  REQUIRE_FALSE(second.IsAllowed(kDeadly));
  first.Pass(parameters.repeat_block);
  second.Pass(parameters.repeat_block);
  REQUIRE(first.IsAllowed(kDeadly));
  CHECK(first.quarantine.RecordSending(kDeadly, first.now));
  second.quarantine.OnNotice(first.quarantine.TakeNotice(), second.now);
  CHECK_FALSE(first.IsAllowed(kDeadly));
  CHECK_FALSE(second.IsAllowed(kDeadly));
  SECTION("a crash quarantines the request") {
    first.Crash(3, kDeadly);
    first.Pass(parameters.trial);
    second.quarantine.OnNotice(first.quarantine.TakeNotice(), second.now);
    second.Pass(parameters.trial);
    CHECK_FALSE(first.IsAllowed(kDeadly));
    CHECK_FALSE(second.IsAllowed(kDeadly));
  }
  SECTION("a success clears it") {
    first.quarantine.RecordSuccess(kDeadly, first.now);
    second.quarantine.OnNotice(first.quarantine.TakeNotice(), second.now);
    CHECK(first.IsAllowed(kDeadly));
    CHECK(second.IsAllowed(kDeadly));
  }
}

// Guards against accusations that lapse because an older crash was told last.
TEST_CASE("Crashes that are told in any order accuse a request",
          "[quarantine][request][regression]") {
  const std::vector<milliseconds> ages =
      GENERATE(std::vector<milliseconds>{milliseconds(0), milliseconds(20000),
                                         milliseconds(10000)},
               std::vector<milliseconds>{milliseconds(20000),
                                         milliseconds(10000), milliseconds(0)});
  test_node node;
  node.Pass(milliseconds(30000));
  request_notice notice;
  uint32_t upstream = 0;
  for (const milliseconds age : ages) {
    notice.crashes.push_back({++upstream, kDeadly, age, milliseconds(50)});
  }
  node.quarantine.OnNotice(notice, node.now);
  CHECK_FALSE(node.IsAllowed(kDeadly));
  node.Pass(milliseconds(2000));
  CHECK_FALSE(node.IsAllowed(kDeadly));
  CHECK(node.events == std::vector<std::string>{"quarantined"});
}

}  // namespace skylarkcroft

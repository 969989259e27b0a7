#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/quarantine/skylarkcroft_part_quarantine.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(1000)};
constexpr part_key kBad = 7;
constexpr part_key kCommon = 8;
constexpr part_key kOtherSubject = 9;

/// A node and the present time.
struct quarantine_bench {
  void Pass(milliseconds span) {
    for (milliseconds passed{0}; passed < span; passed += milliseconds(100)) {
      now += milliseconds(100);
      node.Tick(now);
    }
  }
  [[nodiscard]] quarantine_decision Decide(
      const std::vector<part_key>& parts) const {
    return node.Decide({999, parts}, now).decision;
  }
  /// One crash under a new request with the bad part.
  void Crash() {
    ++count;
    node.RecordCrash({count, count, true, {kCommon, kBad}}, now);
    Pass(milliseconds(500));
  }
  void Quarantine() {
    for (int i = 0; i < 3; ++i) {
      node.RecordSuccess({500, {kCommon}}, now);
      Crash();
    }
  }

  time_point now = kStart;
  uint32_t count = 0;
  std::vector<std::string> events;
  part_quarantine node{part_quarantine_parameters{},
                       [this](const quarantine_event& event) {
                         events.emplace_back(event.what);
                       }};
};

}  // namespace

TEST_CASE("Requests with a part that crashed three upstreams are rejected",
          "[quarantine]") {
  quarantine_bench bench;
  bench.Quarantine();
  CHECK(bench.Decide({kCommon, kBad}) == quarantine_decision::kPartQuarantined);
  CHECK(bench.Decide({kBad}) == quarantine_decision::kPartQuarantined);
  CHECK(bench.Decide({kCommon}) == quarantine_decision::kAllowed);
  CHECK(bench.Decide({kCommon, kOtherSubject}) ==
        quarantine_decision::kAllowed);
  CHECK(bench.node.Decide({999, {kBad}}, bench.now).remaining >
        milliseconds(100000));
}

TEST_CASE("A request under which two upstreams crashed is not sent again",
          "[quarantine]") {
  quarantine_bench bench;
  bench.node.RecordCrash({1, 55, true, {kBad}}, bench.now);
  CHECK(bench.node.Decide({55, {kBad}}, bench.now).decision ==
        quarantine_decision::kAllowed);
  bench.Pass(milliseconds(500));
  bench.node.RecordCrash({2, 55, true, {kBad}}, bench.now);
  CHECK(bench.node.Decide({55, {kBad}}, bench.now).decision ==
        quarantine_decision::kRequestCrashed);
  CHECK(bench.Decide({kBad}) == quarantine_decision::kAllowed);
  bench.Pass(milliseconds(20000));
  CHECK(bench.node.Decide({55, {kBad}}, bench.now).decision ==
        quarantine_decision::kAllowed);
}

TEST_CASE("An answer that ends well clears a part on all nodes",
          "[quarantine]") {
  quarantine_bench one;
  quarantine_bench other;
  one.Quarantine();
  other.Quarantine();
  static_cast<void>(one.node.TakeNotice());
  one.node.RecordSuccess({1, {kBad}}, one.now);
  CHECK(one.Decide({kBad}) == quarantine_decision::kAllowed);
  other.node.OnNotice(one.node.TakeNotice(), other.now);
  CHECK(other.Decide({kBad}) == quarantine_decision::kAllowed);
  CHECK(other.events.back() == "cleared");
}

TEST_CASE("A node that was told of a success does not believe older reports",
          "[quarantine]") {
  quarantine_bench one;
  quarantine_bench other;
  one.Quarantine();
  const std::vector<quarantined_parts> report = one.node.Report(one.now);
  REQUIRE(report.size() == 1);
  other.node.OnNotice({{}, {{kBad, milliseconds(0)}}, {}, {}}, one.now);
  other.now = one.now + milliseconds(1500);
  other.node.OnNotice({{}, {}, {}, report}, other.now);
  CHECK(other.Decide({kBad}) == quarantine_decision::kAllowed);
  // Told again, since the peer that sent the report has missed it.
  other.node.Tick(other.now);
  CHECK_FALSE(other.node.TakeNotice().successes.empty());
}

TEST_CASE("A node that starts learns quarantines from the reports of peers",
          "[quarantine]") {
  quarantine_bench one;
  quarantine_bench started;
  one.Quarantine();
  started.now = one.now;
  started.node.OnNotice({{}, {}, {}, one.node.Report(one.now)}, one.now);
  CHECK(started.Decide({kBad}) == quarantine_decision::kPartQuarantined);
  CHECK(started.node.Report(one.now) == one.node.Report(one.now));
}

TEST_CASE("Reports that nodes exchange do not prolong a quarantine",
          "[quarantine]") {
  quarantine_bench one;
  quarantine_bench other;
  one.Quarantine();
  other.now = one.now;
  const time_point ends = one.now + one.node.Report(one.now).front().remaining;
  // Each report is 20 ms old when it arrives.
  while (one.now < ends + milliseconds(2000)) {
    const quarantine_notice from_one{{}, {}, {}, one.node.Report(one.now)};
    const quarantine_notice from_other{{}, {}, {}, other.node.Report(one.now)};
    one.now += milliseconds(20);
    other.now = one.now;
    other.node.OnNotice(from_one, one.now);
    one.node.OnNotice(from_other, one.now);
    one.node.Tick(one.now);
    other.node.Tick(one.now);
  }
  CHECK(one.Decide({kBad}) == quarantine_decision::kAllowed);
  CHECK(other.Decide({kBad}) == quarantine_decision::kAllowed);
}

TEST_CASE("A quarantine ends with age and comes back doubled after one crash",
          "[quarantine]") {
  quarantine_bench bench;
  bench.Quarantine();
  bench.Pass(milliseconds(121000));
  CHECK(bench.Decide({kBad}) == quarantine_decision::kAllowed);
  CHECK(bench.events.back() == "lapsed");
  bench.Crash();
  CHECK(bench.Decide({kBad}) == quarantine_decision::kPartQuarantined);
  bench.Pass(milliseconds(200000));
  CHECK(bench.Decide({kBad}) == quarantine_decision::kPartQuarantined);
  bench.Pass(milliseconds(41000));
  CHECK(bench.Decide({kBad}) == quarantine_decision::kAllowed);
}

TEST_CASE("A part of successful requests is not told as suspect",
          "[quarantine]") {
  quarantine_bench bench;
  bench.node.RecordSuccess({1, {kCommon}}, bench.now);
  bench.node.RecordCrash({1, 2, true, {kCommon, kBad}}, bench.now);
  bench.node.RecordCrash({2, 3, true, {kCommon}}, bench.now);
  const quarantine_notice notice = bench.node.TakeNotice();
  REQUIRE(notice.crashes.size() == 1);
  CHECK(notice.crashes.front().parts == std::vector<part_key>{kBad});
}

TEST_CASE("What a node keeps and tells under many failures is bounded",
          "[quarantine][bounds]") {
  quarantine_bench bench;
  const part_quarantine_parameters parameters;
  for (uint32_t i = 0; i < 10000; ++i) {
    bench.node.RecordCrash({i, i, true, {i + 100}}, bench.now);
    bench.node.OnNotice(
        {{}, {}, {}, {{{i + 20000}, milliseconds(1), milliseconds(60000), 0}}},
        bench.now);
  }
  CHECK(bench.node.TakeNotice().crashes.size() <=
        static_cast<size_t>(parameters.max_told_crashes_per_second));
  CHECK(bench.node.Report(bench.now).size() <= parameters.max_reported);
}

}  // namespace skylarkcroft

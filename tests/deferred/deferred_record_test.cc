#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "skylarkcroft/deferred/skylarkcroft_deferred_record.h"
#include "skylarkcroft/deferred/skylarkcroft_worker_monitor.h"

namespace skylarkcroft {
namespace {

TEST_CASE("a deferred request and its outcome decode to what was encoded",
          "[deferred]") {
  deferred_request request;
  request.id = MakeDeferredId("n1.ab", 7);
  request.caller_name = "dispatch";
  request.route_name = "sheets";
  request.original = {
      "POST", "/v1/completions", {{"Idempotency-Key", "k"}}, "{}"};
  request.deadline_ms = 5;
  request.worker = "n1.ab";
  CHECK(DecodeDeferred(EncodeDeferred(request)) == request);
  const deferred_outcome outcome{"n1.ab.d7", "dispatch", {200, {}, "text"}};
  CHECK(DecodeOutcome(EncodeOutcome(outcome)) == outcome);
  CHECK_FALSE(DecodeDeferred("{}").has_value());
  CHECK_FALSE(DecodeOutcome("[").has_value());
}

TEST_CASE("only ids of deferred requests are recognized as such",
          "[deferred]") {
  CHECK(IsDeferredId(MakeDeferredId("n1.ab", 7)));
  CHECK_FALSE(IsDeferredId("n1.ab.7"));
  CHECK_FALSE(IsDeferredId("n1"));
  CHECK_FALSE(IsDeferredId(""));
}

TEST_CASE("every shard is assigned to exactly one node", "[deferred]") {
  for (const size_t count : {1U, 2U, 7U, 40U}) {
    std::vector<std::string> nodes;
    for (size_t index = 0; index < count; ++index) {
      nodes.push_back("n" + std::to_string(index));
    }
    std::vector<size_t> all;
    for (const std::string& node : nodes) {
      const std::vector<size_t> own = ShardsOf(node, nodes);
      all.insert(all.end(), own.begin(), own.end());
    }
    CHECK(all.size() == kDeferredShards);
    CHECK(std::set<size_t>(all.begin(), all.end()).size() == kDeferredShards);
  }
}

TEST_CASE(
    "a worker counts as stopped when its row is unchanged for the lease time",
    "[deferred]") {
  constexpr milliseconds kLease{1000};
  worker_monitor monitor(kLease);
  const time_point start{};
  CHECK_FALSE(monitor.HasStopped("w", start));
  monitor.OnHeartbeatRead("w", 1, start);
  CHECK_FALSE(monitor.HasStopped("w", start + milliseconds(999)));
  monitor.OnHeartbeatRead("w", 1, start + milliseconds(900));
  CHECK(monitor.HasStopped("w", start + kLease));
  monitor.OnHeartbeatRead("w", 2, start + kLease);
  CHECK_FALSE(monitor.HasStopped("w", start + kLease));
}

}  // namespace
}  // namespace skylarkcroft

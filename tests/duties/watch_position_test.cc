#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_lease_decision.h"
#include "skylarkcroft/control/skylarkcroft_rendezvous.h"
#include "skylarkcroft/duties/skylarkcroft_watch_position.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr size_t kWatchers = 2;

std::vector<std::string> Members() {
  constexpr int kMembers = 89;
  std::vector<std::string> members;
  members.reserve(kMembers);
  for (int i = 0; i < kMembers; ++i) {
    members.push_back("node-" + std::to_string(i));
  }
  return members;
}

std::string MemberAt(size_t position) {
  for (const std::string& member : Members()) {
    if (RendezvousPosition("duties", member, Members()) == position) {
      return member;
    }
  }
  return "";
}

/// When `self` takes the lease over whose holder renewed it last at kStart.
milliseconds TakeoverDelayOf(const std::string& self,
                             const std::string& holder) {
  lease_parameters parameters;
  parameters.lease_time = milliseconds(3000);
  parameters.takeover_margin = milliseconds(500);
  parameters.watcher_count = kWatchers;
  lease_view view;
  view.version = 1;
  view.first_seen_at = kStart;
  view.record.holder = {holder, "1"};
  view.record.lease_time_ms = 3000;
  const size_t position =
      WatchPosition("duties", self, holder, Members(), kWatchers);
  milliseconds waited{0};
  while (waited < milliseconds(20000) &&
         DecideLease(view, {self, "1"}, position, parameters,
                     kStart + waited) != lease_step::kTakeOver) {
    waited += milliseconds(50);
  }
  return waited;
}

}  // namespace

// Guards against duties that nobody holds for one lease time more than needed
// when the first member in order is the one that stands still.
TEST_CASE("The second watcher takes a lease over once it has run out",
          "[duties][lease][takeover][regression]") {
  CHECK(TakeoverDelayOf(MemberAt(1), MemberAt(0)) <= milliseconds(3500));
}

TEST_CASE("Two watchers do not compete for the lease of a third node",
          "[duties][lease][takeover]") {
  const std::string holder = MemberAt(5);
  CHECK(TakeoverDelayOf(MemberAt(0), holder) <= milliseconds(3500));
  CHECK(TakeoverDelayOf(MemberAt(1), holder) > milliseconds(6000));
}

TEST_CASE("Other nodes leave a lease alone", "[duties][lease]") {
  const std::string holder = MemberAt(0);
  for (const size_t position : {size_t{2}, size_t{3}, size_t{40}}) {
    CHECK(WatchPosition("duties", MemberAt(position), holder, Members(),
                        kWatchers) >= kWatchers);
  }
}

}  // namespace skylarkcroft

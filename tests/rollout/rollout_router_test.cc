#include <algorithm>
#include <catch2/catch.hpp>

#include "skylarkcroft/rollout/skylarkcroft_rollout_router.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kLifetime{3000};
const rollout_order kOrder{"chat", "v2", milliseconds(12000), {1, 40}};

std::vector<upstream_entry> Upstreams(
    const std::vector<std::string>& versions) {
  std::vector<upstream_entry> entries;
  for (const std::string& version : versions) {
    upstream_entry entry;
    entry.id = version + "-" + std::to_string(entries.size());
    entry.service = "chat";
    entry.version = version;
    entries.push_back(entry);
  }
  return entries;
}

rollout_plan PlanOf(const rollout_order& order, rollout_stage stage,
                    int64_t sequence) {
  rollout_plan plan;
  plan.order = order;
  plan.fencing_token = 1;
  plan.sequence = sequence;
  plan.stage = stage;
  return plan;
}

/// Versions to which a request may go by the first filter that leaves any.
std::string VersionsFor(const rollout_router& router,
                        const std::vector<upstream_entry>& upstreams,
                        double draw, time_point now,
                        const std::string& route = "recap") {
  for (const upstream_filter_fn& allows :
       router.Filters({"chat", route, false, draw}, now)) {
    std::string versions;
    for (const upstream_entry& entry : upstreams) {
      if (allows(entry) && versions.find(entry.version) == std::string::npos) {
        versions += entry.version;
      }
    }
    if (!versions.empty()) {
      return versions;
    }
  }
  return "";
}

}  // namespace

TEST_CASE("Without upstreams or orders all upstreams may be chosen",
          "[rollout][router]") {
  const rollout_router router(kLifetime);
  CHECK(router.Filters({"chat", "recap", false, 0}, {}).empty());
}

// Guards against requests to a version before its order has arrived: its
// upstreams may be listed first.
TEST_CASE("Upstreams of another version get no requests without a plan",
          "[rollout][router]") {
  rollout_router router(kLifetime);
  const time_point now{};
  router.UpdateUpstreams("chat", Upstreams({"v1", "v1", "v1"}));
  const std::vector<upstream_entry> upstreams =
      Upstreams({"v1", "v2", "v2", "v2"});
  CHECK(VersionsFor(router, upstreams, 0, now) == "v1");
  router.UpdateUpstreams("chat", upstreams);
  CHECK(VersionsFor(router, upstreams, 0, now) == "v1");
  CHECK(router.OnOrder(kOrder));
  CHECK_FALSE(router.OnOrder(kOrder));
  CHECK(VersionsFor(router, upstreams, 0, now) == "v1");
}

TEST_CASE("The plan decides which version a request goes to",
          "[rollout][router]") {
  rollout_router router(kLifetime);
  const time_point now{};
  const std::vector<upstream_entry> upstreams =
      Upstreams({"v1", "v1", "v2", "v2"});
  router.OnOrder(kOrder);
  router.UpdateUpstreams("chat", upstreams);
  rollout_plan plan = PlanOf(kOrder, rollout_stage::kCanary, 1);
  plan.share = 0.1;
  plan.canary_upstreams = 1;
  CHECK(router.OnPlan(plan, now));
  CHECK(VersionsFor(router, upstreams, 0.05, now) == "v2");
  CHECK(VersionsFor(router, upstreams, 0.15, now) == "v1");
  const std::vector<upstream_filter_fn> filters =
      router.Filters({"chat", "recap", false, 0.05}, now);
  CHECK(std::count_if(upstreams.begin(), upstreams.end(), filters.front()) ==
        1);
  CHECK(router.Filters({"chat", "recap", true, 0.05}, now).size() == 1);

  plan = PlanOf(kOrder, rollout_stage::kRamp, 2);
  plan.moved_routes = {"recap"};
  plan.canary_upstreams = 1;
  CHECK(router.OnPlan(plan, now));
  CHECK(VersionsFor(router, upstreams, 0.9, now) == "v2");
  CHECK(VersionsFor(router, upstreams, 0.9, now, "blurb") == "v1");

  CHECK(router.OnPlan(PlanOf(kOrder, rollout_stage::kDrain, 3), now));
  CHECK(VersionsFor(router, upstreams, 0.9, now, "blurb") == "v2");
  // An outdated datagram.
  CHECK_FALSE(router.OnPlan(plan, now));
  CHECK(VersionsFor(router, upstreams, 0.9, now, "blurb") == "v2");

  CHECK(router.OnPlan(PlanOf(kOrder, rollout_stage::kCompleted, 4), now));
  CHECK(VersionsFor(router, upstreams, 0.9, now) == "v2");
  CHECK(VersionsFor(router, Upstreams({"v1"}), 0.9, now).empty());
  CHECK_FALSE(router.IsRunning("chat"));
}

// Guards against requests to a version that nobody watches any more.
TEST_CASE("A plan that is not heard any more expires", "[rollout][router]") {
  rollout_router router(kLifetime);
  const time_point now{};
  const std::vector<upstream_entry> upstreams = Upstreams({"v1", "v2"});
  router.OnOrder(kOrder);
  router.UpdateUpstreams("chat", upstreams);
  const rollout_plan plan = PlanOf(kOrder, rollout_stage::kDrain, 1);
  router.OnPlan(plan, now);
  const time_point later = now + kLifetime + milliseconds(1);
  CHECK(VersionsFor(router, upstreams, 0, now + kLifetime) == "v2");
  CHECK(VersionsFor(router, upstreams, 0, later) == "v1");
  router.OnPlan(plan, later);
  CHECK(VersionsFor(router, upstreams, 0, later) == "v2");
}

TEST_CASE("A version that is the only one left gets all requests",
          "[rollout][router]") {
  rollout_router router(kLifetime);
  const time_point now{};
  router.UpdateUpstreams("chat", Upstreams({"v1", "v2"}));
  router.OnOrder(kOrder);
  const std::vector<upstream_entry> rest = Upstreams({"v2"});
  router.UpdateUpstreams("chat", rest);
  CHECK(VersionsFor(router, rest, 0.9, now) == "v2");
  // But not if it was rolled back.
  router.OnPlan(PlanOf(kOrder, rollout_stage::kRolledBack, 1), now);
  router.UpdateUpstreams("chat", rest);
  CHECK(VersionsFor(router, rest, 0.9, now).empty());
}

TEST_CASE("A second order starts anew and the first target is given up",
          "[rollout][router]") {
  rollout_router router(kLifetime);
  const time_point now{};
  const std::vector<upstream_entry> upstreams = Upstreams({"v1", "v2", "v3"});
  router.OnOrder(kOrder);
  router.UpdateUpstreams("chat", upstreams);
  router.OnPlan(PlanOf(kOrder, rollout_stage::kDrain, 5), now);
  const rollout_order second{"chat", "v3", milliseconds(9000), {1, 50}};
  CHECK(router.OnOrder(second));
  router.UpdateUpstreams("chat", upstreams);
  CHECK(router.Plan("chat") == nullptr);
  CHECK(VersionsFor(router, upstreams, 0, now) == "v1");
  // A late plan of the first order.
  CHECK_FALSE(router.OnPlan(PlanOf(kOrder, rollout_stage::kDrain, 6), now));
  CHECK(VersionsFor(router, upstreams, 0, now) == "v1");
  CHECK(router.OnPlan(PlanOf(second, rollout_stage::kDrain, 1), now));
  CHECK(VersionsFor(router, upstreams, 0, now) == "v3");
  // Also when nothing else is left.
  const std::vector<upstream_entry> rest = Upstreams({"v2"});
  const rollout_order third{"chat", "v4", milliseconds(9000), {1, 60}};
  router.OnOrder(third);
  router.UpdateUpstreams("chat", rest);
  CHECK(VersionsFor(router, rest, 0, now).empty());
}

// The store gives out versions again after a restore; an order that was
// decided must not be started again.
TEST_CASE("An order from a restored store is recognised", "[rollout][router]") {
  rollout_router router(kLifetime);
  const time_point now{};
  router.OnOrder(kOrder);
  router.OnPlan(PlanOf(kOrder, rollout_stage::kCompleted, 5), now);
  rollout_order restored = kOrder;
  restored.position = {2, 33};
  CHECK_FALSE(router.OnOrder(restored));
  CHECK_FALSE(router.IsRunning("chat"));
  // The same content in the same era is the operator's next order.
  rollout_order repeated = kOrder;
  repeated.position = {2, 70};
  CHECK(router.OnOrder(repeated));
  CHECK(router.IsRunning("chat"));
}

}  // namespace skylarkcroft

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "platform/platform_documents.h"
#include "platform/platform_names.h"
#include "platform/platform_row_store.h"
#include "skylarkcroft/control/skylarkcroft_rendezvous.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/relay/skylarkcroft_store_replica.h"
#include "tests/adapter/platform_standin.h"

namespace skylarkcroft {
namespace {

constexpr int kPeers = 6;
constexpr milliseconds kDrain{1000};

std::string Entry(const std::string& state) {
  return R"({"service": "desk", "address": "127.0.0.1:9", "zone": "a",
            "slots": 8, "state": ")" +
         state + R"(", "born": 1})";
}

/// A node whose peers are to watch the tables for it.
class resting_node {
 public:
  resting_node()
      : client_(loop),
        store_(client_, standin.address()),
        group(Name()),
        replica({loop, store_, adapter_, balancer, group, SteadyNow,
                 [](const std::string&, bool) {},
                 [](log_level, const std::string&,
                    const std::vector<log_field>&) {}},
                Name(), {kDrain, kDrain}) {
    standin.Put("servers", "i-1", Entry("ready"));
    HearPeers();
    replica.Start({"127.0.0.1", 9}, SteadyNow());
  }

  /// A name of low rank among the peers, for both tables.
  static std::string Name() {
    std::vector<std::string> members;
    members.reserve(kPeers);
    for (int i = 0; i < kPeers; ++i) {
      members.push_back("peer" + std::to_string(i));
    }
    for (int i = 0;; ++i) {
      std::string name = "node" + std::to_string(i);
      if (RendezvousPosition(platform::kUpstreamTable, name, members) >= 2 &&
          RendezvousPosition(platform::kOperatorTable, name, members) >= 2) {
        return name;
      }
    }
  }

  /// The peers are alive but tell nothing of the tables.
  void HearPeers() {
    ++sequence_;
    for (int i = 0; i < kPeers; ++i) {
      group.OnReport("peer" + std::to_string(i), {"127.0.0.1", 9}, 1, sequence_,
                     false, SteadyNow());
    }
  }

  bool Await(milliseconds limit, const std::function<bool()>& done) {
    const time_point end = SteadyNow() + limit;
    while (!done() && SteadyNow() < end) {
      loop.RunFor(milliseconds(20));
      HearPeers();
      replica.UpdatePolling(SteadyNow());
    }
    return done();
  }

  event_loop loop;
  platform_standin standin{loop};
  load_balancer balancer{load_balancer_parameters{}};

 private:
  static deployment_adapter MakeAdapter() {
    deployment_adapter adapter;
    adapter.operator_tables_table = platform::kOperatorTable;
    adapter.operator_tables_key = platform::kConfigRow;
    adapter.upstreams_table = platform::kUpstreamTable;
    adapter.parse_tables = platform::ReadConfig;
    adapter.parse_upstream = platform::ReadUpstream;
    return adapter;
  }

  deployment_adapter adapter_ = MakeAdapter();
  http_client client_;
  platform::platform_row_store store_;
  int64_t sequence_ = 0;

 public:
  peer_group group;
  store_replica replica;
};

}  // namespace

TEST_CASE(
    "A leaving upstream is known in time when the watching nodes are deaf",
    "[adapter][store][drain][regression]") {
  resting_node node;
  REQUIRE(node.Await(milliseconds(2000),
                     [&] { return node.balancer.UsableCount("desk") == 1; }));
  // No longer in the first, whole read or a watch begun before peers counted.
  node.Await(milliseconds(1500), [] { return false; });
  node.standin.Put("servers", "i-1", Entry("draining"));
  CHECK(node.Await(kDrain,
                   [&] { return node.balancer.UsableCount("desk") == 0; }));
}

namespace {

/// Lets the store of `node` come back from its copy and waits until the node
/// has read the upstreams in the new era.
void Restore(resting_node& node) {
  node.standin.RestoreCopy();
  const int64_t era = node.standin.era;
  REQUIRE(node.Await(milliseconds(3000), [&] {
    const std::optional<table_position> position =
        node.replica.upstreams_position();
    return position.has_value() && position->newest_change.era == era;
  }));
}

}  // namespace

// Guards against requests to an upstream that left after the copy was made.
TEST_CASE("An upstream that had left is not used when an older copy lists it",
          "[adapter][store][drain][restored][regression]") {
  resting_node node;
  node.standin.era = 1;
  REQUIRE(node.Await(milliseconds(2000),
                     [&] { return node.balancer.UsableCount("desk") == 1; }));
  node.standin.MakeCopy();
  const bool removed = GENERATE(false, true);
  CAPTURE(removed);
  if (removed) {
    node.standin.Drop("servers", "i-1");
  } else {
    node.standin.Put("servers", "i-1", Entry("draining"));
  }
  REQUIRE(node.Await(milliseconds(4000),
                     [&] { return node.balancer.UsableCount("desk") == 0; }));
  Restore(node);
  CHECK(node.balancer.UsableCount("desk") == 0);
  // It registers again in another process.
  node.standin.Put("servers", "i-1", R"({"service": "desk",
      "address": "127.0.0.1:9", "zone": "a", "slots": 8, "state": "ready",
      "born": 2})");
  CHECK(node.Await(milliseconds(2000),
                   [&] { return node.balancer.UsableCount("desk") == 1; }));
}

TEST_CASE("An upstream that an older copy lacks stays in use for a while",
          "[adapter][store][restored]") {
  resting_node node;
  node.standin.era = 1;
  node.standin.MakeCopy();
  REQUIRE(node.Await(milliseconds(2000),
                     [&] { return node.balancer.UsableCount("desk") == 1; }));
  node.standin.Put("servers", "i-2", Entry("ready"));
  REQUIRE(node.Await(milliseconds(2000),
                     [&] { return node.balancer.UsableCount("desk") == 2; }));
  Restore(node);
  CHECK(node.balancer.UsableCount("desk") == 2);
  CHECK(node.Await(milliseconds(4000), [&] {
    node.balancer.DropRemoved(SteadyNow());
    return node.balancer.UsableCount("desk") == 1;
  }));
}

// Guards against nodes that later ones do not find in the store's list.
TEST_CASE("A node joins again when an older copy does not list it",
          "[adapter][store][restored][regression]") {
  resting_node node;
  node.standin.era = 1;
  node.standin.MakeCopy();
  REQUIRE(node.Await(milliseconds(2000), [&] {
    return node.standin.Has("nodes", resting_node::Name());
  }));
  Restore(node);
  CHECK(node.Await(milliseconds(2000), [&] {
    return node.standin.Has("nodes", resting_node::Name());
  }));
}

// Guards against a node that ends, or no longer follows the list of upstreams,
// because of one odd entry in it.
TEST_CASE("An odd entry in the list of upstreams leaves the others in force",
          "[adapter][store][odd_entry]") {
  constexpr size_t kLevels = 20000;
  const std::string nested =
      std::string(kLevels, '[') + std::string(kLevels, ']');
  const std::vector<std::string> odd = {
      R"({"service": "desk", "address": "127.0.0.1:9", "state": "ready",
          "more": )" +
          nested + "}",
      R"({"service": "desk", "address": "127.0.0.1:9", "state": "ready",
          "slots": 1e300})",
      R"({"service": "desk", "address": "127.0.0.1:65536", "state": "ready"})",
      R"({"service": "desk", "address": )" + nested + "}",
      "[1e400]",
      "\xff\xfe",
      ""};
  resting_node node;
  const auto usable = [&node](size_t count) {
    return node.Await(milliseconds(3000), [&] {
      return node.balancer.UsableCount("desk") == count;
    });
  };
  REQUIRE(usable(1));
  for (size_t i = 0; i < odd.size(); ++i) {
    node.standin.Put("servers", "a-" + std::to_string(i), odd[i]);
    node.standin.Put("servers", "z-" + std::to_string(i), odd[i]);
  }
  node.standin.Put("servers", "i-2", Entry("ready"));
  CHECK(usable(2));
  node.standin.Put("servers", "i-1", odd.front());
  CHECK(usable(1));
  node.standin.Put("servers", "i-1", Entry("ready"));
  CHECK(usable(2));
  node.standin.Put("servers", "i-2", Entry("draining"));
  CHECK(usable(1));
}

}  // namespace skylarkcroft

#include <catch2/catch.hpp>

#include "load/skylarkcroft_mesh_cluster.h"

namespace skylarkcroft::load {
namespace {

constexpr milliseconds kLimit{30000};
constexpr size_t kNodes = 7;

struct converged_cluster : mesh_cluster {
  explicit converged_cluster(size_t size = kNodes,
                             const memory_network_options& network = {})
      : mesh_cluster(size, network) {
    REQUIRE(RunUntil([this] { return AllKnowAll(); }, kLimit) <= kLimit);
  }

  bool Until(const std::function<bool()>& holds) {
    return RunUntil(holds, kLimit) <= kLimit;
  }
};

TEST_CASE("nodes that know one seed address discover all members",
          "[mesh][members]") {
  SECTION("without message loss") { converged_cluster nodes; }
  SECTION("with 20 % message loss") {
    memory_network_options lossy;
    lossy.loss = 0.2;
    converged_cluster nodes(kNodes, lossy);
  }
  SECTION("with 60 nodes") { converged_cluster nodes(60); }
}

TEST_CASE("a record reaches every member despite message loss",
          "[mesh][records]") {
  memory_network_options network;
  network.loss = GENERATE(0.0, 0.3);
  converged_cluster nodes(20, network);
  nodes.at(3).part->Publish("limits", "first");
  nodes.at(3).part->Publish("limits", "second");
  CHECK(nodes.Until([&] {
    for (size_t index = 0; index < nodes.size(); ++index) {
      const mesh_record* held =
          nodes.at(index).part->records().Find("node-3", "limits");
      if (held == nullptr || held->payload != "second") {
        return false;
      }
    }
    return true;
  }));
}

TEST_CASE("an unchanged record is not sent again", "[mesh][records]") {
  converged_cluster nodes;
  nodes.Run(milliseconds(10000));
  const uint64_t before = nodes.at(0).part->counts().bytes_sent;
  nodes.at(0).part->Publish("limits", std::string(20000, 'x'));
  nodes.Run(milliseconds(10000));
  const uint64_t with_record = nodes.at(0).part->counts().bytes_sent;
  CHECK(with_record - before >= 20000);
  CHECK(with_record - before <= (kNodes - 1) * 20000 + 20000);
  nodes.at(0).part->Publish("limits", std::string(20000, 'x'));
  nodes.Run(milliseconds(10000));
  CHECK(nodes.at(0).part->counts().bytes_sent - with_record < 20000);
}

TEST_CASE("a killed member becomes suspect and is then removed",
          "[mesh][members]") {
  converged_cluster nodes;
  nodes.Kill(6);
  CHECK(nodes.Until(
      [&] { return nodes.CountState("node-6", member_state::kSuspect) == 6; }));
  CHECK(nodes.Until(
      [&] { return nodes.CountState("node-6", member_state::kRemoved) == 6; }));
  SECTION("and is alive again after a restart") {
    nodes.Restart(6);
    CHECK(nodes.Until([&] { return nodes.AllKnowAll(); }));
  }
}

TEST_CASE("a suspected member that resumes becomes alive again",
          "[mesh][members]") {
  converged_cluster nodes;
  nodes.at(6).paused = true;
  CHECK(nodes.Until(
      [&] { return nodes.CountState("node-6", member_state::kSuspect) > 0; }));
  SECTION("while it is suspect") {}
  SECTION("after it was removed") {
    nodes.Until([&] {
      return nodes.CountState("node-6", member_state::kRemoved) == 6;
    });
  }
  nodes.at(6).paused = false;
  CHECK(nodes.Until(
      [&] { return nodes.CountState("node-6", member_state::kAlive) == 6; }));
  CHECK(nodes.AllKnowAll());
}

TEST_CASE("a draining member is still known as draining after it has stopped",
          "[mesh][members]") {
  converged_cluster nodes;
  nodes.at(6).part->PublishDraining();
  const auto all_see_it = [&] {
    for (size_t index = 0; index < 6; ++index) {
      if (!nodes.at(index)
               .part->members()
               .Find("node-6")
               ->details.is_draining) {
        return false;
      }
    }
    return true;
  };
  CHECK(nodes.Until(all_see_it));
  nodes.Kill(6);
  nodes.Run(milliseconds(60000));
  CHECK(all_see_it());
  CHECK(nodes.CountState("node-6", member_state::kRemoved) == 6);
}

TEST_CASE("a silent connection is reopened and makes no member suspect",
          "[mesh][links]") {
  converged_cluster nodes;
  nodes.network().Silence(mesh_cluster::AddressOf(0),
                          mesh_cluster::AddressOf(1));
  nodes.Run(milliseconds(8000));
  CHECK(nodes.at(0).part->counts().redials >= 1);
  CHECK(nodes.CountState("node-1", member_state::kAlive) == kNodes - 1);
  CHECK(nodes.CountState("node-0", member_state::kAlive) == kNodes - 1);
}

TEST_CASE("groups split by a network partition merge again once it heals",
          "[mesh][regions]") {
  converged_cluster nodes;
  const auto side = [](const endpoint& address) {
    return address == mesh_cluster::AddressOf(4) ||
           address == mesh_cluster::AddressOf(5) ||
           address == mesh_cluster::AddressOf(6);
  };
  nodes.network().SetCut([&](const endpoint& from, const endpoint& to) {
    return side(from) != side(to);
  });
  nodes.Run(milliseconds(3600 * 1000));
  CHECK(nodes.at(0).part->members().active_count() == 3);
  CHECK(nodes.at(6).part->members().active_count() == 2);
  nodes.at(5).part->Publish("limits", "from the other side");
  nodes.network().SetCut({});
  CHECK(nodes.Until([&] { return nodes.AllKnowAll(); }));
  CHECK(nodes.Until([&] {
    return nodes.at(0).part->records().Find("node-5", "limits") != nullptr;
  }));
}

TEST_CASE("a restarted process whose clock is behind replaces the earlier one",
          "[mesh][members]") {
  converged_cluster nodes;
  nodes.Run(milliseconds(60000));
  const int64_t earlier =
      nodes.at(0).part->members().Find("node-6")->incarnation;
  nodes.Restart(6, milliseconds(3600 * 1000));
  CHECK(nodes.Until([&] {
    return nodes.at(0).part->members().Find("node-6")->incarnation > earlier;
  }));
  nodes.at(6).part->Publish("limits", "new");
  CHECK(nodes.Until([&] {
    return nodes.at(0).part->records().Find("node-6", "limits") != nullptr;
  }));
}

TEST_CASE("a table revision spreads to all nodes", "[mesh][tables]") {
  converged_cluster nodes(30);
  nodes.KeepReports(true);
  nodes.at(2).revision = 9;
  nodes.at(2).part->RequestEarlyRound();
  CHECK(nodes.Until([&] {
    for (size_t index = 0; index < nodes.size(); ++index) {
      if (nodes.at(index).revision != 9) {
        return false;
      }
    }
    return true;
  }));
  SECTION("and a reply is reported with the time of its exchange") {
    const time_point asked = nodes.time().now;
    nodes.at(0).reports.clear();
    nodes.at(0).part->RequestRevision("node-1", nodes.time());
    nodes.Run(milliseconds(100));
    bool answered = false;
    for (const revision_report& report : nodes.at(0).reports) {
      answered =
          answered || (report.from == "node-1" && report.asked_at == asked);
    }
    CHECK(answered);
  }
}

TEST_CASE("a direct payload reaches only the addressed member",
          "[mesh][direct]") {
  converged_cluster nodes;
  CHECK(nodes.at(0).part->SendDirect("node-1", "handover", "bytes",
                                     nodes.time()));
  CHECK_FALSE(
      nodes.at(0).part->SendDirect("nobody", "handover", "", nodes.time()));
  nodes.Run(milliseconds(100));
  CHECK(nodes.at(1).directs ==
        std::vector<std::string>{"node-0 handover bytes"});
  CHECK(nodes.at(2).directs.empty());
}

}  // namespace
}  // namespace skylarkcroft::load

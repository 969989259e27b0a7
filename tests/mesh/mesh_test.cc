#include <catch2/catch.hpp>

#include "load/skylarkcroft_mesh_cluster.h"

namespace skylarkcroft::load {
namespace {

constexpr milliseconds kLimit{30000};
constexpr size_t kNodes = 7;

struct settled_cluster : mesh_cluster {
  explicit settled_cluster(size_t size = kNodes,
                           const memory_network_options& network = {})
      : mesh_cluster(size, network) {
    REQUIRE(RunUntil([this] { return AllKnowAll(); }, kLimit) <= kLimit);
  }

  bool Until(const std::function<bool()>& holds) {
    return RunUntil(holds, kLimit) <= kLimit;
  }
};

TEST_CASE("nodes that know one address find each other", "[mesh][members]") {
  SECTION("on a clean network") { settled_cluster nodes; }
  SECTION("with a fifth of the messages lost") {
    memory_network_options lossy;
    lossy.loss = 0.2;
    settled_cluster nodes(kNodes, lossy);
  }
  SECTION("when there are many") { settled_cluster nodes(60); }
}

TEST_CASE("a record reaches every member, also under loss", "[mesh][records]") {
  memory_network_options network;
  network.loss = GENERATE(0.0, 0.3);
  settled_cluster nodes(20, network);
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
  settled_cluster nodes;
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

TEST_CASE("a killed member is suspected, then removed", "[mesh][members]") {
  settled_cluster nodes;
  nodes.Kill(6);
  CHECK(nodes.Until(
      [&] { return nodes.CountState("node-6", member_state::kSuspect) == 6; }));
  CHECK(nodes.Until(
      [&] { return nodes.CountState("node-6", member_state::kRemoved) == 6; }));
  SECTION("and comes back when it is started again") {
    nodes.Restart(6);
    CHECK(nodes.Until([&] { return nodes.AllKnowAll(); }));
  }
}

TEST_CASE("a suspect that still runs refutes", "[mesh][members]") {
  settled_cluster nodes;
  nodes.at(6).paused = true;
  CHECK(nodes.Until(
      [&] { return nodes.CountState("node-6", member_state::kSuspect) > 0; }));
  SECTION("while it is a suspect") {}
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

TEST_CASE("a leaving member stays known as leaving after it is gone",
          "[mesh][members]") {
  settled_cluster nodes;
  nodes.at(6).part->PublishLeaving();
  const auto all_see_it = [&] {
    for (size_t index = 0; index < 6; ++index) {
      if (!nodes.at(index).part->members().Find("node-6")->details.leaving) {
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

TEST_CASE("a silent link is dialled again and suspects nobody",
          "[mesh][links]") {
  settled_cluster nodes;
  nodes.network().Silence(mesh_cluster::AddressOf(0),
                          mesh_cluster::AddressOf(1));
  nodes.Run(milliseconds(8000));
  CHECK(nodes.at(0).part->counts().redials >= 1);
  CHECK(nodes.CountState("node-1", member_state::kAlive) == kNodes - 1);
  CHECK(nodes.CountState("node-0", member_state::kAlive) == kNodes - 1);
}

TEST_CASE("parted groups go on and merge again by themselves",
          "[mesh][regions]") {
  settled_cluster nodes;
  const auto side = [](const endpoint& address) {
    return address == mesh_cluster::AddressOf(4) ||
           address == mesh_cluster::AddressOf(5) ||
           address == mesh_cluster::AddressOf(6);
  };
  nodes.network().SetCut([&](const endpoint& from, const endpoint& to) {
    return side(from) != side(to);
  });
  nodes.Run(milliseconds(3600 * 1000));
  CHECK(nodes.at(0).part->members().counted() == 3);
  CHECK(nodes.at(6).part->members().counted() == 2);
  nodes.at(5).part->Publish("limits", "from the other side");
  nodes.network().SetCut({});
  CHECK(nodes.Until([&] { return nodes.AllKnowAll(); }));
  CHECK(nodes.Until([&] {
    return nodes.at(0).part->records().Find("node-5", "limits") != nullptr;
  }));
}

TEST_CASE("a process that starts with an older clock replaces the earlier one",
          "[mesh][members]") {
  settled_cluster nodes;
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

TEST_CASE("a revision spreads by questions and answers", "[mesh][tables]") {
  settled_cluster nodes(30);
  nodes.KeepReports(true);
  nodes.at(2).revision = 9;
  nodes.at(2).part->HurryRound();
  CHECK(nodes.Until([&] {
    for (size_t index = 0; index < nodes.size(); ++index) {
      if (nodes.at(index).revision != 9) {
        return false;
      }
    }
    return true;
  }));
  SECTION("and an answer tells when it was asked for") {
    const time_point asked = nodes.time().now;
    nodes.at(0).reports.clear();
    nodes.at(0).part->Ask("node-1", nodes.time());
    nodes.Run(milliseconds(100));
    bool answered = false;
    for (const revision_report& report : nodes.at(0).reports) {
      answered =
          answered || (report.from == "node-1" && report.asked_at == asked);
    }
    CHECK(answered);
  }
}

TEST_CASE("a direct payload reaches only its member", "[mesh][direct]") {
  settled_cluster nodes;
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

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "skylarkcroft/relay/skylarkcroft_store_replica.h"
#include "tests/store/table_model.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kStartTime{500000};
// Longer than a removed upstream may be kept in use.
constexpr milliseconds kAfterGrace{60000};

/// Answers calls for the table "t" when told to, and no others.
class one_table_store final : public row_store {
 public:
  explicit one_table_store(const table_model& table) : held_(table) {}

  void Read(const std::string& table, store_done_fn done) override {
    if (table == "t") {
      held_.Read(table, std::move(done));
    }
  }
  void Watch(const std::string& table, int64_t version, milliseconds wait,
             store_done_fn done) override {
    if (table == "t") {
      held_.Watch(table, version, wait, std::move(done));
    }
  }
  void Commit(const row_transaction& /*transaction*/,
              store_done_fn /*done*/) override {}
  void Answer(milliseconds clock) { held_.Answer(clock); }

 private:
  held_row_store held_;
};

/// Two watching nodes and the replica of a relay. The relay gets a change of
/// the first node only after the second one has passed on a later change.
class late_change_scene {
 public:
  explicit late_change_scene(const deployment_adapter& adapter)
      : adapter_(adapter) {}

  /// Lets all three read the table; "other" changes once after that.
  void Begin() {
    replica.Start({"127.0.0.1", 9}, now_);
    store_.Answer(kStartTime);
    first_.AnswerStore();
    second_.AnswerStore();
    table.Put("other", "1");
    second_.AnswerStoreOnly();
    first_.AnswerStore();
    Deliver(TakeSent());
  }
  void Run(const std::function<void()>& change,
           const std::function<void()>& later_change) {
    change();
    first_.AnswerStore();
    const std::vector<std::string> late = TakeSent();
    REQUIRE(late.size() == 1);
    second_.Receive(late.front());
    second_.Continue();
    now_ += milliseconds(10);
    later_change();
    second_.AnswerStore();
    Deliver(TakeSent());
    Deliver(late);
    store_.Answer(kStartTime + milliseconds(10));
    balancer.DropRemoved(now_ + kAfterGrace);
  }

  table_model table;
  load_balancer balancer{load_balancer_parameters{}};

 private:
  std::vector<std::string> TakeSent() { return std::exchange(sent_, {}); }
  void Deliver(const std::vector<std::string>& datagrams) {
    for (const std::string& datagram : datagrams) {
      const std::optional<table_changes> changes = DecodeChanges(datagram);
      REQUIRE(changes.has_value());
      replica.OnPeerChanges(*changes);
    }
  }
  std::function<void(const std::string&)> Sender() {
    return [this](const std::string& datagram) { sent_.push_back(datagram); };
  }

  time_point now_{kStartTime};
  std::vector<std::string> sent_;
  following_node first_{table, now_, Sender()};
  following_node second_{table, now_, Sender()};
  event_loop loop_;
  one_table_store store_{table};
  deployment_adapter adapter_;
  peer_group group_{"relay"};

 public:
  store_replica replica{
      {loop_, store_, adapter_, balancer, group_, [this] { return now_; },
       [](const std::string&, bool) {},
       [](log_level, const std::string&, const std::vector<log_field>&) {}},
      "relay",
      {milliseconds(0), milliseconds(0)}};
};

deployment_adapter AdapterOf(const std::string& tables,
                             const std::string& upstreams) {
  deployment_adapter adapter;
  adapter.operator_tables_table = tables;
  adapter.operator_tables_key = "tables";
  adapter.upstreams_table = upstreams;
  adapter.parse_tables = [](const std::string& text) {
    service_map map;
    map.version = std::stoll(text);
    return std::optional<service_map>(map);
  };
  adapter.parse_upstream = [](const std::string& id, const std::string& port) {
    upstream_entry entry;
    entry.id = id;
    entry.service = "desk";
    entry.address = {"127.0.0.1", static_cast<uint16_t>(std::stoi(port))};
    entry.slots = 1;
    return std::optional<upstream_entry>(entry);
  };
  return adapter;
}

}  // namespace

// Guards against operators' tables that never take force on one node.
TEST_CASE("Tables that arrive after a later change take force",
          "[store][follower][peers][regression]") {
  late_change_scene scene(AdapterOf("t", "none"));
  scene.table.Put("tables", "1");
  scene.Begin();
  REQUIRE(scene.replica.tables().tables != nullptr);
  REQUIRE(scene.replica.tables().tables->map().version == 1);
  scene.Run([&] { scene.table.Put("tables", "2"); },
            [&] { scene.table.Put("other", "2"); });
  CHECK(scene.replica.tables().tables->map().version == 2);
}

// Guards against requests to a removed upstream whose address is used again.
TEST_CASE("An upstream whose removal arrives after its successor is dropped",
          "[store][follower][peers][regression]") {
  late_change_scene scene(AdapterOf("none", "t"));
  scene.table.Put("i-1", "7001");
  scene.Begin();
  REQUIRE(scene.balancer.Find("i-1") != nullptr);
  scene.Run([&] { scene.table.Remove("i-1"); },
            [&] { scene.table.Put("i-2", "7001"); });
  CHECK(scene.balancer.Find("i-1") == nullptr);
  CHECK(scene.balancer.Find("i-2") != nullptr);
}

}  // namespace skylarkcroft

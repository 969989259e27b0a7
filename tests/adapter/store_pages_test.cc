#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "platform/platform_row_store.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/store/skylarkcroft_table_follower.h"
#include "tests/adapter/platform_standin.h"
#include "tests/relay/scripted_upstream.h"

namespace skylarkcroft {
namespace {

constexpr const char* kEmptyRead =
    R"({"rows": [], "row_version": 9, "now_ms": 1000, "has_more": false})";

std::string Response(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A follower of the table "t" at a store on loopback.
class paged_follower {
 public:
  explicit paged_follower(event_loop& loop, const endpoint& store)
      : loop_(loop), client_(loop), store_(client_, store) {}

  void Start() { follower_.Start(); }
  bool Await(const std::function<bool()>& done) {
    const auto poll = loop_.Every(milliseconds(2), [&] {
      if (done()) {
        loop_.Stop();
      }
    });
    loop_.RunFor(milliseconds(8000));
    return done();
  }

  std::string newest;
  int whole_reads = 0;
  size_t value_bytes = 0;

 private:
  static table_follower_parameters Parameters() {
    table_follower_parameters parameters;
    parameters.change_delay = milliseconds(50);
    parameters.watch_timeout = milliseconds(100);
    return parameters;
  }
  table_follower_callbacks Events() {
    table_follower_callbacks events;
    events.on_reset = [this](const std::vector<stored_row>& rows, time_point) {
      ++whole_reads;
      for (const stored_row& row : rows) {
        newest = row.value;
      }
    };
    events.on_change = [this](const stored_row& row, time_point) {
      newest = row.value;
    };
    events.on_reachability = [](bool, store_outcome, time_point) {};
    events.on_response = [this](const follower_response& response) {
      value_bytes += response.value_bytes;
    };
    return events;
  }

  event_loop& loop_;
  http_client client_;
  platform::platform_row_store store_;
  table_follower follower_{loop_,        store_,   "t",
                           Parameters(), Events(), SteadyNow};

 public:
  [[nodiscard]] table_follower& follower() { return follower_; }
};

}  // namespace

// Guards against a node that waits between the pages of changes that it has
// missed, and holds itself for current meanwhile.
TEST_CASE("A follower reads pages of changes without a pause between them",
          "[adapter][store][follower][currency][regression]") {
  event_loop loop;
  platform_standin standin(loop);
  standin.Put("t", "tables", "0");
  paged_follower node(loop, standin.address());
  node.Start();
  REQUIRE(node.Await([&] { return node.newest == "0"; }));
  standin.fault = store_fault::kRefuse;
  for (int version = 1; version <= 40; ++version) {
    standin.Put("t", "tables", std::to_string(version));
  }
  const time_point changed_at = SteadyNow();
  loop.RunFor(milliseconds(300));
  standin.max_feed_rows = 2;
  standin.fault = store_fault::kNone;
  REQUIRE(
      node.Await([&] { return node.follower().current_as_of() > changed_at; }));
  CHECK(node.newest == "40");
  // Twenty pages with the delay after a change between them take a second.
  CHECK(SteadyNow() - changed_at < milliseconds(1200));
}

TEST_CASE("A read in pages is as old as its first page",
          "[adapter][store][follower][currency]") {
  event_loop loop;
  platform_standin standin(loop);
  for (const char* key : {"a", "b", "c", "d", "e"}) {
    standin.Put("t", key, "0");
  }
  standin.max_get_rows = 2;
  http_client client(loop);
  platform::platform_row_store store(client, standin.address());
  std::optional<milliseconds> first_page;
  standin.on_page = [&] {
    if (!first_page.has_value()) {
      first_page = std::chrono::duration_cast<milliseconds>(
          SteadyNow().time_since_epoch());
      // Behind the place that the read has reached.
      standin.Put("t", "a", "1");
    }
  };
  std::optional<store_response> response;
  store.Read("t", [&](const store_response& read) {
    response = read;
    loop.Stop();
  });
  loop.RunFor(milliseconds(3000));
  REQUIRE(response.has_value());
  CHECK(response->rows.size() == 5);
  CHECK(response->responded_at <= first_page);
  // A watch from there tells of the change.
  CHECK(response->version < 7);
}

// Guards against a node whose link is too slow for the history of a large row,
// so that it asked for the same page until the store had dropped it.
TEST_CASE("A follower whose answer is cut short reads the table",
          "[adapter][store][follower][regression]") {
  event_loop loop;
  scripted_upstream store(loop);
  store.SetHandler([&](const scripted_upstream::received_request& request) {
    if (request.head.target.find("rows-get") != std::string::npos) {
      request.write(Response(kEmptyRead));
      return;
    }
    // The link carries a part of the page within any limit.
    request.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{");
  });
  paged_follower node(loop, store.address());
  node.Start();
  CHECK(node.Await([&] { return node.whole_reads >= 2; }));
}

TEST_CASE("A response that has begun may take longer than a silence",
          "[adapter][store]") {
  event_loop loop;
  scripted_upstream store(loop);
  const std::string text = Response(kEmptyRead);
  std::vector<event_loop::handle_ptr> timers;
  store.SetHandler([&](const scripted_upstream::received_request& request) {
    const size_t part = text.size() / 4;
    for (size_t i = 0; i < 4; ++i) {
      const std::string piece =
          text.substr(i * part, i == 3 ? std::string::npos : part);
      timers.push_back(
          loop.After(milliseconds(300 * static_cast<int>(i)),
                     [write = request.write, piece] { write(piece); }));
    }
  });
  http_client client(loop);
  platform::platform_row_store rows(client, store.address());
  std::optional<store_response> response;
  rows.Read("t", [&](const store_response& read) {
    response = read;
    loop.Stop();
  });
  loop.RunFor(milliseconds(3000));
  REQUIRE(response.has_value());
  CHECK(response->outcome == store_outcome::kDone);
}

// Guards against nodes that read the whole history of a large row after the
// store has turned them away.
TEST_CASE("Nodes that were away read one page of a row's history at most",
          "[adapter][store][follower][scale][regression]") {
  constexpr size_t kRowBytes = 170000;
  constexpr size_t kPageRows = 7;
  constexpr int kVersions = 48;
  const int nodes = GENERATE(1, 7);
  event_loop loop;
  platform_standin standin(loop);
  standin.max_feed_rows = kPageRows;
  standin.Put("t", "tables", "0");
  std::vector<std::unique_ptr<paged_follower>> fleet;
  for (int i = 0; i < nodes; ++i) {
    fleet.push_back(std::make_unique<paged_follower>(loop, standin.address()));
    fleet.back()->Start();
  }
  for (const auto& node : fleet) {
    REQUIRE(node->Await([&] { return node->newest == "0"; }));
  }
  standin.fault = store_fault::kRefuse;
  loop.RunFor(milliseconds(300));
  for (int version = 1; version <= kVersions; ++version) {
    standin.Put("t", "tables",
                std::string(kRowBytes, static_cast<char>('A' + version % 26)));
  }
  const time_point changed_at = SteadyNow();
  standin.fault = store_fault::kNone;
  for (const auto& node : fleet) {
    REQUIRE(node->Await(
        [&] { return node->follower().current_as_of() > changed_at; }));
    CHECK(node->newest.front() == 'A' + kVersions % 26);
    CHECK(node->value_bytes <= (kPageRows + 1) * kRowBytes + 1);
  }
}

}  // namespace skylarkcroft

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>

#include "tests/child_program.h"
#include "tests/node/node_fixture.h"

namespace skylarkcroft {
namespace {

constexpr int kStalenessMs = 1000;

/// A node as a process of its own, so that it can be stopped.
class node_process {
 public:
  node_process(const std::string& name, const endpoint& platform,
               const std::vector<std::string>& peers)
      : path_("/tmp/skylarkcroft-test-" + std::to_string(getpid()) + "-" +
              name + ".json") {
    const std::string free = ToString(kFreePort);
    const nlohmann::json settings = {
        {"node", {{"name", name}, {"availability_zone", "a"}, {"region", "r"}}},
        {"listen", {{"callers", free}, {"operators", free}, {"mesh", free}}},
        {"platform", {{"tables", ToString(platform)}}},
        {"peers", peers},
        {"mesh_key", "shared"},
        {"tables", {{"poll_ms", 100}, {"staleness_ms", kStalenessMs}}},
        {"log", {{"level", "error"}}}};
    std::ofstream(path_) << settings.dump();
    program_ = std::make_unique<child_program>(
        "src/skylarkcroft",
        std::vector<std::string>{"node", "--settings", path_});
    const nlohmann::json listening =
        nlohmann::json::parse(program_->ReadLine());
    callers = ParseEndpoint(listening.at("callers").get<std::string>(), "");
    operators = ParseEndpoint(listening.at("operators").get<std::string>(), "");
    mesh = listening.at("mesh").get<std::string>();
  }
  ~node_process() { std::remove(path_.c_str()); }
  node_process(const node_process&) = delete;
  node_process& operator=(const node_process&) = delete;

  void Stop() const { program_->Signal(SIGSTOP); }
  void Continue() const { program_->Signal(SIGCONT); }
  void HangUp() const { program_->Signal(SIGHUP); }

  endpoint callers;
  endpoint operators;
  std::string mesh;

 private:
  std::string path_;
  std::unique_ptr<child_program> program_;
};

http_request PutRequest(const std::string& table,
                        const nlohmann::json& document) {
  http_request request;
  request.method = "PUT";
  request.target = "/operators/" + table;
  request.body = document.dump();
  return request;
}

TEST_CASE("a stopped node serves nothing under old tables when it wakes",
          "[node][tables]") {
  node_fixture fixture(0, 1);
  const endpoint& platform = fixture.platform_address();
  const node_process first("p1", platform, {});
  const node_process second("p2", platform, {first.mesh});
  const node_process third("p3", platform, {first.mesh});
  const auto put = [&](const std::string& table,
                       const nlohmann::json& document) {
    return nlohmann::json::parse(
        fixture.Call(first.operators, PutRequest(table, document)).body);
  };
  put("pools", fixture.PoolsDocument());
  put("routes", fixture.RoutesDocument());
  const http_request ask = node_fixture::Completion("a stop", 2, false);
  REQUIRE(fixture.Until(
      [&] { return fixture.Call(third.callers, ask).status == 200; }));
  third.Stop();
  nlohmann::json without_callers = fixture.RoutesDocument();
  without_callers["callers"] = nlohmann::json::array();
  const nlohmann::json edit = put("routes", without_callers);
  CHECK(edit.at("in_force_on") == std::vector<std::string>{"p1", "p2"});
  CHECK(edit.at("stopped") == std::vector<std::string>{"p3"});
  // This request waits in the stopped node's socket.
  std::optional<http_result> waited;
  const http_call_ptr call = fixture.client.Send(
      third.callers, ask, {},
      {{}, {}, [&](const http_result& result) { waited = result; }});
  fixture.loop.RunFor(milliseconds(100));
  CHECK_FALSE(waited);
  third.Continue();
  REQUIRE(fixture.Until([&] { return waited.has_value(); }));
  CHECK(waited->response.status != 200);
  CHECK(fixture.Until(
      [&] { return fixture.Call(third.callers, ask).status == 401; }));
}

// Guards against a node that ends, with all its requests, at a SIGHUP.
TEST_CASE("a node goes on after SIGHUP", "[node][planned_stop]") {
  node_fixture fixture(0, 0);
  const node_process one("hup", fixture.platform_address(), {});
  one.HangUp();
  fixture.loop.RunFor(milliseconds(200));
  CHECK(fixture.Get(one.callers, "/healthz").status == 200);
}

}  // namespace
}  // namespace skylarkcroft

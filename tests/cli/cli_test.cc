#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "skylarkcroft/cli/skylarkcroft_cli.h"
#include "skylarkcroft/cli/skylarkcroft_edit_report.h"
#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft {
namespace {

using Catch::Matchers::Contains;
using answer_fn = std::function<http_response(const http_request&)>;

// The operators' address of a node, on a thread of its own because commands
// wait for their answers. An answer of status 0 closes the connection.
class fake_node {
 public:
  explicit fake_node(answer_fn answer)
      : answer_(std::move(answer)),
        server_(loop_, {"127.0.0.1", 0}, {},
                [this](const http_exchange_ptr& exchange) { Take(exchange); }) {
    REQUIRE(pipe(stop_.data()) == 0);
    on_stop_ = loop_.OnReadable(stop_[0], [this] { loop_.Stop(); });
    thread_ = std::thread([this] { loop_.Run(); });
  }
  ~fake_node() {
    close(stop_[1]);
    thread_.join();
    close(stop_[0]);
  }
  fake_node(const fake_node&) = delete;
  fake_node& operator=(const fake_node&) = delete;

  std::string address() const { return ToString(server_.address()); }

  std::vector<http_request> seen() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return seen_;
  }

 private:
  void Take(const http_exchange_ptr& exchange) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      seen_.push_back(exchange->request());
    }
    const http_response response = answer_(exchange->request());
    if (response.status == 0) {
      exchange->Abort();
      return;
    }
    exchange->Reply(response);
  }

  answer_fn answer_;
  event_loop loop_;
  http_server server_;
  std::array<int, 2> stop_{};
  event_loop::handle_ptr on_stop_;
  std::mutex mutex_;
  std::vector<http_request> seen_;
  std::thread thread_;
};

struct cli_run {
  int code = -1;
  std::string out;
  std::string err;
};

cli_run Run(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  const auto run = [](const std::string& path) -> int {
    throw error("cannot run " + path, "none");
  };
  const int code =
      RunCommandLine(arguments, {out, err, CheckDocuments, run, run});
  return {code, out.str(), err.str()};
}

// A file in a folder of its own.
class scratch_file {
 public:
  scratch_file(const std::string& name, const std::string& text)
      : folder_(MakeFolder()), path_((folder_ / name).string()) {
    std::ofstream(path_) << text;
  }
  ~scratch_file() { std::filesystem::remove_all(folder_); }
  scratch_file(const scratch_file&) = delete;
  scratch_file& operator=(const scratch_file&) = delete;

  const std::string& path() const { return path_; }
  std::string Sibling(const std::string& name, const std::string& text) const {
    std::string path = (folder_ / name).string();
    std::ofstream(path) << text;
    return path;
  }

 private:
  static std::filesystem::path MakeFolder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "skylarkcroft-XXXXXX")
            .string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    return name;
  }

  std::filesystem::path folder_;
  std::string path_;
};

answer_fn Always(int status, const nlohmann::json& body) {
  return [status, text = body.dump()](const http_request&) {
    return http_response{status, {}, text};
  };
}

TEST_CASE("wrong usage exits 2 and names the remedy", "[cli]") {
  const std::vector<std::vector<std::string>> wrong = {
      {},
      {"nonsense"},
      {"status", "--nonsense"},
      {"status", "extra"},
      {"status", "--node", "localhost"},
      {"routes"},
      {"routes", "burn"},
      {"routes", "put"},
      {"routes", "diff", "1"},
      {"routes", "diff", "1", "two"},
      {"pools", "rollback", "-x"},
      {"loglevel", "loud"},
      {"completion", "fish"},
      {"check"},
      {"node"}};
  for (const std::vector<std::string>& arguments : wrong) {
    const cli_run run = Run(arguments);
    CAPTURE(arguments);
    CHECK(run.code == 2);
    CHECK(run.out.empty());
    CHECK_THAT(run.err, Contains("; "));
  }
}

TEST_CASE("help and version are there for every command", "[cli]") {
  CHECK(Run({"--version"}).out.rfind("skylarkcroft ", 0) == 0);
  const std::string overview = Run({"--help"}).out;
  for (const std::string command :
       {"node", "check", "routes", "pools", "status", "requests", "loglevel",
        "completion"}) {
    CAPTURE(command);
    CHECK_THAT(overview, Contains("  " + command));
    const cli_run help = Run({command, "--help"});
    CHECK(help.code == 0);
    CHECK_THAT(help.out, Contains("skylarkcroft " + command));
    CHECK_THAT(help.out, Contains("--json"));
    CHECK(Run({command, "--version"}).code == 0);
  }
}

TEST_CASE("a failing node command exits 1", "[cli]") {
  const cli_run run = Run({"node", "--settings", "n.json"});
  CHECK(run.code == 1);
  CHECK_THAT(run.err, Contains("cannot run n.json"));
}

TEST_CASE("get prints the document and sends the operators' key", "[cli]") {
  fake_node node(
      Always(200, {{"revision", 7}, {"document", {{"routes", {1}}}}}));
  const scratch_file key("key", "secret\n");
  const cli_run run = Run(
      {"routes", "get", "--node", node.address(), "--key-file", key.path()});
  CHECK(run.code == 0);
  CHECK(nlohmann::json::parse(run.out) == nlohmann::json{{"routes", {1}}});
  CHECK_THAT(run.err, Contains("revision 7"));
  REQUIRE(node.seen().size() == 1);
  CHECK(node.seen()[0].target == "/operators/routes");
  CHECK(node.seen()[0].headers.Get("Authorization") == "Bearer secret");
}

TEST_CASE("a refused call exits 1 with the node's words", "[cli]") {
  fake_node node(Always(401, {{"detail", "no valid key"}}));
  const cli_run run = Run({"status", "--json", "--node", node.address()});
  CHECK(run.code == 1);
  CHECK_THAT(run.err, Contains("no valid key"));
  CHECK(nlohmann::json::parse(run.out).at("exit_code") == 1);
}

TEST_CASE("a node that does not listen exits 6", "[cli]") {
  std::string address;
  {
    const fake_node gone(Always(200, {}));
    address = gone.address();
  }
  const scratch_file table("pools.json", "{}");
  CHECK(Run({"status", "--node", address}).code == 6);
  CHECK(Run({"pools", "put", table.path(), "--node", address}).code == 6);
  CHECK(Run({"loglevel", "info", "--node", address}).code == 6);
}

TEST_CASE("put sends the document under its edit id and base revision",
          "[cli]") {
  fake_node node(Always(200, {{"outcome", "accepted"},
                              {"revision", 8},
                              {"in_force_on", {"a"}},
                              {"pending", {"b"}}}));
  const scratch_file table("routes.json", R"({"routes": []})");
  const cli_run run = Run({"routes", "put", table.path(), "--if-match", "7",
                           "--edit-id", "e-1", "--node", node.address()});
  CHECK(run.code == 0);
  CHECK_THAT(run.out, Contains("revision 8") && Contains("b"));
  REQUIRE(node.seen().size() == 1);
  const http_request sent = node.seen()[0];
  CHECK(sent.method == "PUT");
  CHECK(sent.headers.Get("If-Match") == "7");
  CHECK(sent.headers.Get("X-Edit-Id") == "e-1");
  CHECK(sent.body == R"({"routes":[]})");
}

TEST_CASE("a put that is not accepted has an exit code of its own", "[cli]") {
  struct put_case {
    int status;
    nlohmann::json body;
    int code;
  };
  const auto example = GENERATE(
      put_case{409, {{"outcome", "conflict"}, {"revision", 9}}, 4},
      put_case{422, {{"outcome", "invalid"}, {"path", "$.routes[0]"}}, 3},
      put_case{503, {{"outcome", "unknown"}, {"detail", "no answer"}}, 5},
      put_case{503, {{"outcome", "rejected"}, {"detail", "store down"}}, 1},
      put_case{500, "not understood", 5}, put_case{200, {}, 5},
      put_case{413, {{"detail", 5}}, 1}, put_case{400, "text", 1},
      put_case{0, {}, 5});
  fake_node node(Always(example.status, example.body));
  const scratch_file table("routes.json", "{}");
  CAPTURE(example.status, example.body);
  const cli_run run = Run({"routes", "put", table.path(), "--edit-id", "e-7",
                           "--json", "--node", node.address()});
  CHECK(run.code == example.code);
  CHECK(nlohmann::json::parse(run.out).is_object());
  if (example.code == 5) {
    CHECK(nlohmann::json::parse(run.out).at("edit_id") == "e-7");
  }
}

TEST_CASE("a put of a file that is not JSON is not sent", "[cli]") {
  fake_node node(Always(200, {}));
  const scratch_file table("routes.json", "{");
  CHECK(Run({"routes", "put", table.path(), "--node", node.address()}).code ==
        3);
  CHECK(Run({"routes", "put", "/nonexistent", "--node", node.address()}).code ==
        1);
  CHECK(node.seen().empty());
}

TEST_CASE("history, diff and rollback read the revisions of a table", "[cli]") {
  fake_node node([](const http_request& request) -> http_response {
    nlohmann::json body = {{"revision", 9}, {"document", {{"pools", {2}}}}};
    if (request.method == "PUT") {
      body = {{"outcome", "accepted"}, {"revision", 10}};
    } else if (request.path() == "/operators/pools/history") {
      body = {{"edits", {{{"revision", 9}, {"by", "n1"}}}}};
    } else if (request.QueryParameter("revision") == "3") {
      body["document"] = {{"pools", {1}}};
    }
    return {200, {}, body.dump()};
  });
  const std::string address = node.address();
  SECTION("history") {
    CHECK(Run({"pools", "history", "--node", address}).out ==
          "by=n1 revision=9\n");
  }
  SECTION("diff") {
    CHECK(Run({"pools", "diff", "3", "9", "--node", address}).out ==
          "- /pools/0: 1\n+ /pools/0: 2\n");
  }
  SECTION("rollback") {
    CHECK(Run({"pools", "rollback", "3", "--node", address}).code == 0);
    const http_request sent = node.seen().back();
    CHECK(sent.body == R"({"pools":[1]})");
    CHECK(sent.headers.Get("If-Match") == "9");
  }
}

TEST_CASE("status and requests are printed to be read, or as JSON", "[cli]") {
  fake_node node(Always(200, {{"name", "n1"},
                              {"members", {"a", "b"}},
                              {"requests", {{{"id", "r-1"}, {"rank", 0}}}}}));
  CHECK(Run({"status", "--node", node.address()}).out ==
        "members:\n  - a\n  - b\nname: n1\nrequests:\n  -\n    id: r-1\n"
        "    rank: 0\n");
  CHECK(Run({"requests", "--node", node.address()}).out == "id=r-1 rank=0\n");
  const cli_run json = Run({"requests", "--json", "--node", node.address()});
  CHECK(nlohmann::json::parse(json.out).at("requests").size() == 1);
}

TEST_CASE("the log level is sent to the node", "[cli]") {
  fake_node node(Always(200, nlohmann::json::object()));
  CHECK(Run({"loglevel", "debug", "--node", node.address()}).code == 0);
  REQUIRE(node.seen().size() == 1);
  CHECK(node.seen()[0].method == "PUT");
  CHECK(node.seen()[0].body == R"({"level":"debug"})");
}

TEST_CASE("check reports the first fault of each document", "[cli][check]") {
  const scratch_file routes("routes.json", R"({"routes": [{"nmae": "x"}]})");
  const std::string broken = routes.Sibling("broken.json", "{");
  const std::string empty = routes.Sibling("pools.json", R"({"pools": []})");
  const cli_run run = Run({"check", routes.path(), broken, empty, "--json"});
  CHECK(run.code == 3);
  const auto report = nlohmann::json::parse(run.out);
  CHECK(report.at("valid") == false);
  const auto& files = report.at("files");
  REQUIRE(files.size() == 3);
  CHECK(files[0].at("kind") == "routes");
  CHECK(files[0].at("path") == "$.routes[0].nmae");
  CHECK_FALSE(files[0].at("remedy").get<std::string>().empty());
  CHECK(files[1].at("path") == "$");
  CHECK(files[2].at("valid") == true);
  CHECK(Run({"check", empty}).code == 0);
}

TEST_CASE("check joins the tables of one directory", "[cli][check]") {
  const scratch_file routes("routes.json",
                            R"({"routes": [{"name": "r", "pool": "absent"}]})");
  const std::string pools = routes.Sibling("pools.json", R"({"pools": []})");
  const cli_run alone = Run({"check", routes.path()});
  CAPTURE(alone.out);
  CHECK(alone.code == 0);
  const cli_run joined = Run({"check", routes.path(), pools});
  CHECK(joined.code == 3);
  CHECK_THAT(joined.out, Contains("absent"));
}

TEST_CASE("completion scripts know every command", "[cli]") {
  for (const std::string shell : {"bash", "zsh"}) {
    const cli_run run = Run({"completion", shell});
    CHECK(run.code == 0);
    CHECK_THAT(run.out,
               Contains("node relay check routes pools status requests "
                        "loglevel completion"));
    CHECK_THAT(run.out, Contains("get put history diff rollback"));
  }
}

}  // namespace
}  // namespace skylarkcroft

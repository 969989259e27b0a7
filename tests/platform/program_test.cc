#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kTestLimit{20000};

// The stand-in as a process of its own, ended at the latest with this object.
class program {
 public:
  program() {
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addclose(&actions, ends[0]);
    std::string path =
        SKYLARKCROFT_PROGRAMS "/standins/skylarkcroft_platform_standin";
    std::string option = "--seed=5";
    std::array<char*, 3> arguments = {path.data(), option.data(), nullptr};
    REQUIRE(posix_spawn(&pid_, path.c_str(), &actions, nullptr,
                        arguments.data(), environ) == 0);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    output_ = ends[0];
  }
  ~program() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    close(output_);
  }
  program(const program&) = delete;
  program& operator=(const program&) = delete;

  std::string ReadLine() const {
    std::string line;
    char next = 0;
    while (read(output_, &next, 1) == 1 && next != '\n') {
      line += next;
    }
    return line;
  }

  int Terminate() {
    kill(pid_, SIGTERM);
    int status = -1;
    waitpid(pid_, &status, 0);
    pid_ = 0;
    return status;
  }

 private:
  pid_t pid_ = 0;
  int output_ = -1;
};

TEST_CASE("the program tells its address, serves and ends on SIGTERM",
          "[program]") {
  program platform;
  const nlohmann::json line = nlohmann::json::parse(platform.ReadLine());
  const endpoint address =
      ParseEndpoint(line.at("listening").get<std::string>(), "listening");
  event_loop loop;
  http_client client(loop);
  http_result ended;
  const http_call_ptr call =
      client.Send(address, {"GET", "/admin/stats", {}, {}}, {},
                  {{}, {}, [&](const http_result& result) {
                     ended = result;
                     loop.Stop();
                   }});
  loop.RunFor(kTestLimit);
  CHECK(ended.Ok());
  const int status = platform.Terminate();
  CHECK(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 0);
}

}  // namespace
}  // namespace skylarkcroft

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/child_program.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kTestLimit{20000};

TEST_CASE("the program tells its address, serves and ends on SIGTERM",
          "[program]") {
  child_program platform("standins/skylarkcroft_platform_standin",
                         {"--seed=5"});
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

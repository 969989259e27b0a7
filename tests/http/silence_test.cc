#include <catch2/catch.hpp>
#include <optional>
#include <thread>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/relay/scripted_upstream.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kTestLimit{10000};
constexpr milliseconds kProgressTimeout{200};

// A client and an upstream on one loop.
struct silence_bench {
  http_result Call() {
    std::optional<http_result> ended;
    http_call_options options;
    options.progress_timeout = kProgressTimeout;
    const http_call_ptr call =
        client.Send(upstream.address(), {}, options,
                    {{}, {}, [&](const http_result& result) {
                       ended = result;
                       loop.Stop();
                     }});
    loop.RunFor(kTestLimit);
    REQUIRE(ended.has_value());
    return *ended;
  }

  event_loop loop;
  http_client client{loop};
  scripted_upstream upstream{loop};
};

// Guards against calls that time out because the loop itself stood still while
// their responses lay unread.
TEST_CASE("a pause of the loop times out no call whose response has arrived",
          "[http][silence]") {
  silence_bench bench;
  bench.upstream.SetHandler(
      [&](const scripted_upstream::received_request& request) {
        request.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
        bench.loop.Defer([request] {
          request.write("done");
          std::this_thread::sleep_for(2 * kProgressTimeout);
        });
      });
  const http_result result = bench.Call();
  CHECK(result.outcome == http_outcome::kComplete);
  CHECK(result.response.body == "done");
}

TEST_CASE("a call whose peer goes silent ends as timed out",
          "[http][silence]") {
  silence_bench bench;
  SECTION("before its head") {}
  SECTION("within its head") {
    bench.upstream.SetHandler(
        [&](const scripted_upstream::received_request& request) {
          request.write("HTTP/1.1 200 OK\r\n");
        });
  }
  SECTION("within its body") {
    bench.upstream.SetHandler(
        [&](const scripted_upstream::received_request& request) {
          request.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo");
        });
  }
  const http_result result = bench.Call();
  CHECK(result.outcome == http_outcome::kTimedOut);
  CHECK(result.may_have_been_sent);
}

}  // namespace
}  // namespace skylarkcroft

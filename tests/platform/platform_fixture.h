#ifndef TESTS_PLATFORM_PLATFORM_FIXTURE_H_
#define TESTS_PLATFORM_PLATFORM_FIXTURE_H_

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "standins/platform/skylarkcroft_platform_standin.h"

namespace skylarkcroft::standin {

/// A stand-in on a free port, whose clock the test moves, with a client.
struct platform_fixture {
  static constexpr milliseconds kTestLimit{20000};
  static constexpr int64_t kWallMs = 1000000;

  explicit platform_fixture(const platform_options& options = {})
      : now(SteadyNow()),
        platform(
            loop, options, [this] { return now; }, [] { return kWallMs; }),
        client(loop) {}

  /// Runs the loop until `start` has called its argument with a result.
  template <typename result_type>
  result_type Await(
      const std::function<void(std::function<void(const result_type&)>)>&
          start) {
    std::optional<result_type> ended;
    start([&](const result_type& result) {
      ended = result;
      loop.Stop();
    });
    REQUIRE_FALSE(ended.has_value());
    loop.RunFor(kTestLimit);
    REQUIRE(ended.has_value());
    return *ended;
  }

  http_result Call(const http_request& request) {
    http_call_ptr call;
    return Await<http_result>([&](auto done) {
      call = client.Send(platform.address(), request, {}, {{}, {}, done});
    });
  }

  /// An administration call that must succeed.
  void Admin(const std::string& path, const std::string& body) {
    const http_result result = Call({"POST", "/admin/" + path, {}, body});
    INFO(result.response.body);
    REQUIRE(result.Ok());
  }

  event_loop loop;
  time_point now;
  platform_standin platform;
  http_client client;
};

}  // namespace skylarkcroft::standin

#endif  // TESTS_PLATFORM_PLATFORM_FIXTURE_H_

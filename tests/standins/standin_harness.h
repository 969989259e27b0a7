#ifndef SKYLARKCROFT_TESTS_STANDINS_STANDIN_HARNESS_H_
#define SKYLARKCROFT_TESTS_STANDINS_STANDIN_HARNESS_H_

#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft::standin {

/// One call under way and what has come of it so far.
struct watched_call {
  http_call_ptr call;
  std::string data;
  int status = 0;
  bool done = false;
  http_result result;
};

/// A loop with a client, for calls to stand-ins of the same process.
class standin_harness {
 public:
  standin_harness() : client(loop) {}

  /// Runs the loop until `condition` holds; fails the test when it does not in
  /// good time.
  void RunUntil(const std::function<bool()>& condition) {
    constexpr milliseconds kLimit{20000};
    constexpr milliseconds kPoll{1};
    const auto poll = loop.Every(kPoll, [&] {
      if (condition()) {
        loop.Stop();
      }
    });
    loop.RunFor(kLimit);
    REQUIRE(condition());
  }

  /// Starts a call whose state `watched` shows; it must outlive the call.
  void Start(const endpoint& peer, const http_request& request,
             watched_call& watched) {
    http_call_options options;
    options.progress_timeout = milliseconds(60000);
    http_call_events events;
    events.on_headers = [&watched](int status, const http_headers&) {
      watched.status = status;
    };
    events.on_data = [&watched](std::string_view data) {
      watched.data += data;
    };
    events.on_done = [&watched](http_result result) {
      watched.done = true;
      watched.result = std::move(result);
    };
    watched.call = client.Send(peer, request, options, std::move(events));
  }

  /// A call from start to end, with the body in `response`.
  http_result Call(const endpoint& peer, const http_request& request) {
    watched_call watched;
    Start(peer, request, watched);
    RunUntil([&] { return watched.done; });
    watched.result.response.body = watched.data;
    return watched.result;
  }

  /// JSON answer to a call that must succeed.
  nlohmann::json Json(const endpoint& peer, const http_request& request) {
    const http_result result = Call(peer, request);
    INFO(request.target << " " << result.response.body);
    REQUIRE(result.Ok());
    return nlohmann::json::parse(result.response.body);
  }

  nlohmann::json Get(const endpoint& peer, const std::string& target) {
    return Json(peer, {"GET", target, {}, ""});
  }

  nlohmann::json Post(const endpoint& peer, const std::string& target,
                      const nlohmann::json& body) {
    return Json(peer, {"POST", target, {}, body.dump()});
  }

  event_loop loop;
  http_client client;
};

/// Occurrences of `part` in `text`.
inline int CountOf(const std::string& text, const std::string& part) {
  int count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_TESTS_STANDINS_STANDIN_HARNESS_H_

#ifndef SKYLARKCROFT_TESTS_HTTP_FAULTY_PEER_H_
#define SKYLARKCROFT_TESTS_HTTP_FAULTY_PEER_H_

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/relay/scripted_upstream.h"

namespace skylarkcroft {

/// Calls of one client to one peer.
class faulty_peer {
 public:
  static constexpr milliseconds kDeadline{6000};
  static constexpr size_t kMaxBodyBytes = 4194304;

  void Call(const std::string& body = "hi", bool takes_pieces = false) {
    http_request request;
    request.method = "POST";
    request.target = "/";
    request.body = body;
    http_call_options options;
    options.max_body_bytes = kMaxBodyBytes;
    options.total_timeout = kDeadline;
    http_call_events events;
    events.on_headers = [this](int status, const http_headers&) {
      statuses.push_back(status);
    };
    if (takes_pieces) {
      events.on_data = [](std::string_view) {};
    }
    events.on_done = [this](const http_result& ended) { result = ended; };
    result.reset();
    call_ =
        client_.Send(upstream.address(), request, options, std::move(events));
    Await([this] { return result.has_value(); });
    REQUIRE(result.has_value());
  }
  void Await(const std::function<bool()>& done) {
    for (int turn = 0; turn < 1600 && !done(); ++turn) {
      loop.RunFor(milliseconds(5));
    }
  }

  event_loop loop;
  scripted_upstream upstream{loop};
  std::optional<http_result> result;
  std::vector<int> statuses;

 private:
  http_client client_{loop};
  http_call_ptr call_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_HTTP_FAULTY_PEER_H_

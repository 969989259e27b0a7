#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/relay/answer_ends.h"
#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;

// More than the systems take for the upstream before it reads.
constexpr size_t kLargeUpload = 3500000;

enum class early_end {
  kReset,         ///< At once.
  kResetLater,    ///< While the upload waits.
  kFinishedFirst  ///< Orderly, and the reset comes later.
};

std::string Hex(size_t value) {
  std::string digits;
  for (; value > 0; value /= 16) {
    digits.insert(digits.begin(), "0123456789abcdef"[value % 16]);
  }
  return digits;
}

std::string Upload(const std::string& path, bool in_chunks, size_t size) {
  const std::string body(size, 'u');
  std::string request = fixture::Request(path, "r1", "", body);
  if (in_chunks) {
    const size_t at = request.find("Content-Length");
    request = request.substr(0, at) + "Transfer-Encoding: chunked\r\n\r\n" +
              Hex(size) + "\r\n" + body + "\r\n0\r\n\r\n";
  }
  return request;
}

/// Upstreams that answer when they have read the head of a request.
class early_upstreams {
 public:
  early_upstreams(const std::string& answer, early_end how) {
    for (scripted_upstream* upstream :
         {&relay.first_upstream, &relay.second_upstream}) {
      upstream->SetHeadHandler([this, answer, how](const received_request& r) {
        r.stop_reading();
        r.write(answer);
        End(r, how);
      });
    }
  }
  client_view Upload(const std::string& request) {
    client_ = std::make_unique<raw_client>(relay.loop, relay.server.address());
    client_->Send(request);
    REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
    relay.loop.RunFor(milliseconds(100));
    return ViewOf(client_kind::kKeepsOpen, *client_);
  }

  fixture relay;

 private:
  void End(const received_request& request, early_end how) {
    constexpr milliseconds kWritten{20};
    constexpr milliseconds kLater{300};
    if (how == early_end::kReset) {
      timers_.push_back(relay.loop.After(kWritten, request.reset));
      return;
    }
    if (how == early_end::kFinishedFirst) {
      timers_.push_back(relay.loop.After(kWritten, request.finish));
    }
    timers_.push_back(relay.loop.After(kLater, request.reset));
  }

  std::unique_ptr<raw_client> client_;
  std::vector<event_loop::handle_ptr> timers_;
};

}  // namespace

// Guards against a part of an answer that the client gets as a complete one,
// because its upstream ended it while the request was still being written.
TEST_CASE("An answer that ends before its upstream has the request is short",
          "[relay][answer_end][early_answer][regression]") {
  const bool in_chunks = GENERATE(true, false);
  const bool is_stream = GENERATE(true, false);
  const early_end how = GENERATE(early_end::kReset, early_end::kResetLater,
                                 early_end::kFinishedFirst);
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\n";
  early_upstreams run(
      is_stream
          ? head + "Content-Type: text/event-stream\r\n\r\n" + fixture::Event(1)
          : head + "\r\npart",
      how);
  const client_view view = run.Upload(
      Upload(is_stream ? "/stream/" : "/once/", in_chunks, kLargeUpload));
  CHECK(view == (is_stream ? client_view::kBroken : client_view::kError));
}

TEST_CASE("A whole answer that comes before the request is read is whole",
          "[relay][answer_end][early_answer]") {
  const bool in_chunks = GENERATE(true, false);
  const early_end how = GENERATE(early_end::kReset, early_end::kFinishedFirst);
  early_upstreams run(
      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\nContent-Length: 5\r\n\r\n"
      "whole",
      how);
  CHECK(run.Upload(Upload("/once/", in_chunks, kLargeUpload)) ==
        client_view::kWhole);
}

// Guards against a refusal that the client does not get, as its upstream closes
// without having read the request.
TEST_CASE("A refusal without a length beside an upload is passed on",
          "[relay][answer_end][early_answer]") {
  const bool in_chunks = GENERATE(true, false);
  early_upstreams run(
      "HTTP/1.1 413 Content Too Large\r\nX-Id: r1\r\nX-Sig: s\r\n\r\nless",
      early_end::kFinishedFirst);
  CHECK(run.Upload(Upload("/once/", in_chunks, kLargeUpload)) ==
        client_view::kError);
  REQUIRE(run.relay.records.size() == 1);
  CHECK(run.relay.records.front().status == 413);
}

}  // namespace skylarkcroft

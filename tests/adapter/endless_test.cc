#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "platform/platform_duty_calls.h"
#include "platform/platform_row_store.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "tests/relay/scripted_upstream.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;

/// A peer that answers each call with bytes without end.
class endless_peer {
 public:
  endless_peer(event_loop& loop, const std::string& start, size_t piece)
      : peer_(loop) {
    peer_.SetHandler([this, &loop, start, piece](const received_request& call) {
      call.write(start);
      closed_ = call.closed;
      writers_.push_back(loop.Every(milliseconds(2), [call, piece] {
        if (!*call.closed) {
          call.write(std::string(piece, 'x'));
        }
      }));
    });
  }

  [[nodiscard]] endpoint address() const { return peer_.address(); }
  [[nodiscard]] bool closed() const { return closed_ != nullptr && *closed_; }

 private:
  scripted_upstream peer_;
  std::shared_ptr<bool> closed_;
  std::vector<event_loop::handle_ptr> writers_;
};

std::string AnyStart() {
  return GENERATE(as<std::string>{},
                  // A body that lasts until the connection is closed.
                  "HTTP/1.1 200 OK\r\n\r\n",
                  // A head without end.
                  "HTTP/1.1 200 OK\r\nX-Long: ",
                  // No response at all.
                  "");
}

size_t AnyPiece() { return GENERATE(size_t{1}, size_t{60000}); }

void RunUntil(event_loop& loop, const std::function<bool()>& done) {
  for (int turn = 0; turn < 600 && !done(); ++turn) {
    loop.RunFor(milliseconds(10));
  }
}

}  // namespace

// Guards against calls that never end, and memory that grows, while the store
// sends bytes without end.
TEST_CASE("A store that sends bytes without end has given no answer",
          "[adapter][store][endless]") {
  event_loop loop;
  http_client client(loop);
  endless_peer peer(loop, AnyStart(), AnyPiece());
  platform::platform_row_store store(client, peer.address());
  std::optional<store_outcome> outcome;
  store.Read("servers",
             [&](const store_response& view) { outcome = view.outcome; });
  RunUntil(loop, [&] { return outcome.has_value() && peer.closed(); });
  CHECK(outcome == store_outcome::kUnknown);
  CHECK(peer.closed());
}

// Guards against the same by the cloud.
TEST_CASE("A cloud that sends bytes without end has given no answer",
          "[adapter][duties][endless]") {
  event_loop loop;
  http_client client(loop);
  endless_peer peer(loop, AnyStart(), AnyPiece());
  platform::platform_duty_calls calls(client, peer.address());
  std::optional<duty_outcome> outcome;
  calls.ReportUsage({"n1", 1}, {7, {}},
                    [&](duty_outcome reported) { outcome = reported; });
  RunUntil(loop, [&] { return outcome.has_value() && peer.closed(); });
  CHECK(outcome == duty_outcome::kUnknown);
  CHECK(peer.closed());
}

}  // namespace skylarkcroft

#ifndef SKYLARKCROFT_TESTS_RELAY_ENDLESS_UPSTREAM_H_
#define SKYLARKCROFT_TESTS_RELAY_ENDLESS_UPSTREAM_H_

#include <cstddef>
#include <string>
#include <vector>

#include "tests/relay/scripted_upstream.h"

namespace skylarkcroft {

/// Bytes without end in one place of an answer.
struct endless_bytes {
  std::string place;
  std::string start;  ///< What comes before them.
  std::string piece;  ///< What is repeated.

  bool operator==(const endless_bytes&) const = default;
};

/// The places of an answer where bytes may come without end.
inline std::vector<endless_bytes> EndlessPlaces() {
  const std::string filler(60000, 'x');
  const std::string success = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\n";
  const std::string chunked = success + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"no response", "", filler},
      {"status line", "HTTP/1.1 200 ", filler},
      {"header line", success + "X-Long: ", filler},
      {"header lines", success, "X-More: 1\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"interim header", "HTTP/1.1 100 Continue\r\nX-Long: ", filler},
      {"trailer", chunked + "1\r\na\r\n0\r\nX-Long: ", filler},
      {"trailers", chunked + "1\r\na\r\n0\r\n", "X-More: 1\r\n"},
      {"chunk extension", chunked + "1;", filler},
      {"chunk size", chunked, "0"},
      {"one chunk", chunked + "7fffffff\r\n", filler},
      {"chunks", chunked, "10\r\nxxxxxxxxxxxxxxxx\r\n"},
      {"body with a length", success + "Content-Length: 9000000000\r\n\r\n",
       filler},
      {"body to the end of the connection", success + "\r\n", filler},
  };
}

/// Lets an upstream write `bytes` until its connection is closed.
class endless_writer {
 public:
  explicit endless_writer(event_loop& loop) : loop_(loop) {}

  void Begin(const scripted_upstream::received_request& request,
             const endless_bytes& bytes) {
    request.write(bytes.start);
    Repeat(request, bytes.piece);
  }
  void Repeat(const scripted_upstream::received_request& request,
              const std::string& piece) {
    constexpr size_t kBytesATurn = 60000;
    std::string block = piece;
    while (block.size() + piece.size() <= kBytesATurn) {
      block += piece;
    }
    closed_.push_back(request.closed);
    writers_.push_back(loop_.Every(milliseconds(2), [request, block] {
      if (!*request.closed) {
        request.write(block);
      }
    }));
  }
  /// Whether all connections written to are closed, and there is one.
  [[nodiscard]] bool AllClosed() const {
    for (const std::shared_ptr<bool>& closed : closed_) {
      if (!*closed) {
        return false;
      }
    }
    return !closed_.empty();
  }

 private:
  event_loop& loop_;
  std::vector<std::shared_ptr<bool>> closed_;
  std::vector<event_loop::handle_ptr> writers_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_RELAY_ENDLESS_UPSTREAM_H_

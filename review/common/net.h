#ifndef REVIEW_COMMON_NET_H_
#define REVIEW_COMMON_NET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace review {

/// Milliseconds of the monotonic clock since the program started.
int64_t NowMs();
void SleepMs(int64_t span);

/// An HTTP/1.1 message; names of headers in lower case.
struct message {
  std::string start;  ///< Request line or status line.
  std::map<std::string, std::string> headers;
  std::string body;
  /// The end of the body was seen: by its length, by its last chunk or, where
  /// neither is given, by the orderly end of the connection.
  bool whole = false;

  [[nodiscard]] std::string Header(const std::string& name) const;
  [[nodiscard]] std::string Method() const;
  [[nodiscard]] std::string Target() const;
  /// The target without its query.
  [[nodiscard]] std::string Path() const;
  /// A value of the query, decoded.
  [[nodiscard]] std::string Query(const std::string& name) const;
  [[nodiscard]] int Status() const;
};

/// A blocking TCP connection on loopback; closes its socket.
class connection {
 public:
  explicit connection(int fd) : fd_(fd) {}
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  [[nodiscard]] int fd() const { return fd_; }
  bool Write(const std::string& bytes) const;
  /// Empty where the connection ended before a head.
  std::optional<message> ReadRequest();
  std::optional<message> ReadResponse();
  /// Reads what there is, waiting for `limit_ms` at most (-1: without limit).
  /// Returns false at the end of the connection.
  bool ReadSome(std::string& into, int limit_ms = -1);
  /// Waits for bytes or the end of the connection; false on an error.
  [[nodiscard]] bool WaitReadable() const;
  void ResetOnClose() const;
  /// The last read failed for another reason than an orderly end.
  [[nodiscard]] bool was_reset() const { return was_reset_; }

 private:
  bool Fill();
  std::optional<message> ReadHead();
  bool ReadBytes(size_t size, std::string& into);
  std::optional<std::string> ReadLine();
  bool ReadChunks(std::string& into);

  int fd_;
  std::string buffer_;
  bool was_reset_ = false;
};

/// Connects to a port of 127.0.0.1; -1 on failure.
int Connect(uint16_t port);
/// Listens on 127.0.0.1 at `port`, or at a free one where it is 0.
int Listen(uint16_t port, int backlog = 512);
uint16_t PortOf(int fd);
uint16_t FreePort();

/// Accepts on a thread of its own and serves each connection on another, until
/// it is closed.
class server {
 public:
  using serve_fn = std::function<void(int fd)>;

  explicit server(serve_fn serve, uint16_t port = 0);
  ~server() { Close(); }
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  [[nodiscard]] uint16_t port() const { return port_; }
  void Close();

 private:
  int listener_;
  uint16_t port_;
};

std::string Response(int status, const std::string& headers,
                     const std::string& body);

}  // namespace review

#endif  // REVIEW_COMMON_NET_H_

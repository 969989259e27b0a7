#ifndef SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_CLIENT_H_
#define SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_CLIENT_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/wire/skylarkcroft_message_reader.h"
#include "skylarkcroft/wire/skylarkcroft_stream_socket.h"
#include "tests/relay_soak/soak_history.h"

namespace skylarkcroft::soak {

/// Where a client's next connection goes.
struct client_target {
  std::string node;
  endpoint address;
  std::string key;
};

/// A client that sends one request after the other, several on a connection,
/// and notes what it gets. It goes on with an open connection until that ends.
class soak_client {
 public:
  soak_client(event_loop& loop, history& seen, const std::string& name,
              uint32_t seed, std::function<client_target()> choose);
  ~soak_client();
  soak_client(const soak_client&) = delete;
  soak_client& operator=(const soak_client&) = delete;

  void Start();
  /// Sends no further request.
  void Stop() { stopped_ = true; }
  [[nodiscard]] bool busy() const { return !request_.empty(); }

 private:
  void Next();
  void Send();
  size_t OnBytes(std::string_view bytes);
  void OnClosed(bool clean);
  void OnDeadline();
  void End(bool whole);
  void Disconnect();
  request_seen& Present() { return seen_.requests.at(request_); }

  event_loop& loop_;
  history& seen_;
  std::string name_;
  std::mt19937 random_;
  std::function<client_target()> choose_;
  client_target target_;
  std::unique_ptr<message_reader> reader_;
  std::unique_ptr<stream_socket> socket_;
  std::string request_;  ///< Id of the request at work; empty between two.
  std::string body_;
  bool keep_alive_ = true;
  bool stopped_ = false;
  int on_connection_ = 0;
  int sent_ = 0;
  event_loop::handle_ptr timer_;
  event_loop::handle_ptr deadline_;
};

}  // namespace skylarkcroft::soak

#endif  // SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_CLIENT_H_

#ifndef SKYLARKCROFT_MESH_SKYLARKCROFT_NNG_TRANSPORT_H_
#define SKYLARKCROFT_MESH_SKYLARKCROFT_NNG_TRANSPORT_H_

#include <nng/nng.h>

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh_transport.h"

namespace skylarkcroft {

/// Limits of an nng_transport.
struct nng_transport_limits {
  /// Maximum number of open connections; the least recently used is closed.
  size_t max_links = 64;
  /// Messages that are buffered for one peer.
  int send_buffer = 16;
  /// Received messages that are buffered until they are read.
  int receive_buffer = 256;
  /// Maximum size of a received message, bytes.
  size_t max_message_bytes = size_t{4} * 1024 * 1024;
};

/// Transport over nng, with one listening PULL socket and one PUSH socket for
/// each peer. All callbacks run on the event loop's thread.
class nng_transport : public mesh_transport {
 public:
  using receive_fn = std::function<void(std::string_view bytes)>;

  /// Throws network_error when `listen` cannot be bound.
  nng_transport(event_loop& loop, const endpoint& listen,
                nng_transport_limits limits, receive_fn receive);
  ~nng_transport() override;
  nng_transport(const nng_transport&) = delete;
  nng_transport& operator=(const nng_transport&) = delete;

  bool Send(const endpoint& to, const std::string& bytes) override;
  void Redial(const endpoint& to) override;

  /// The bound address, with the actual port.
  [[nodiscard]] const endpoint& address() const { return address_; }
  [[nodiscard]] size_t open_links() const { return links_.size(); }

 private:
  struct link {
    nng_socket socket{};
    nng_dialer dialer{};
    std::list<endpoint>::iterator lru_position;
  };

  void Receive();
  /// Returns the open connection to `to`, opening it if needed; null on
  /// failure.
  link* Dial(const endpoint& to);
  void Close(const endpoint& to);
  void CloseRetired();

  nng_transport_limits limits_;
  receive_fn receive_;
  nng_socket listen_socket_{};
  nng_listener listener_{};
  endpoint address_;
  std::map<endpoint, link> links_;
  /// Most recently used first.
  std::list<endpoint> recently_used_;
  /// Sockets whose dialers are closed. The next CloseRetired() moves them to
  /// `closing_`, the one after that closes them.
  std::vector<nng_socket> retired_;
  std::vector<nng_socket> closing_;
  event_loop::handle_ptr readable_;
  event_loop::handle_ptr retire_timer_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_NNG_TRANSPORT_H_

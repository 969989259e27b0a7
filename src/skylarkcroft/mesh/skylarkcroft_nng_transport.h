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

/// Bounds of an nng_transport.
struct nng_transport_limits {
  /// Peers a connection is kept open to; the least recently used is closed.
  size_t max_links = 64;
  /// Messages that wait for one peer.
  int send_buffer = 16;
  /// Messages that wait to be read here.
  int receive_buffer = 256;
  /// Largest message that is received, bytes.
  size_t max_message_bytes = size_t{4} * 1024 * 1024;
};

/// Messages over nng: one PULL socket that listens, one PUSH socket for each
/// peer. Everything of ours runs on the event loop's thread.
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
    std::list<endpoint>::iterator use;
  };

  void Receive();
  /// The open socket to `to`, or null when it could not be opened.
  link* Dial(const endpoint& to);
  void Close(const endpoint& to);
  void CloseRetired();

  nng_transport_limits limits_;
  receive_fn receive_;
  nng_socket inbox_{};
  nng_listener listener_{};
  endpoint address_;
  std::map<endpoint, link> links_;
  /// Most recently used first.
  std::list<endpoint> uses_;
  /// Sockets whose dialers are closed, to be closed at the next turn but one.
  std::vector<nng_socket> retired_;
  std::vector<nng_socket> closing_;
  event_loop::handle_ptr readable_;
  event_loop::handle_ptr retire_timer_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_NNG_TRANSPORT_H_

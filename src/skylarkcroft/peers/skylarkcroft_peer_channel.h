#ifndef SKYLARKCROFT_PEERS_SKYLARKCROFT_PEER_CHANNEL_H_
#define SKYLARKCROFT_PEERS_SKYLARKCROFT_PEER_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft {

/// Exchanges UDP datagrams with other nodes. They may be lost, delayed or
/// duplicated.
class peer_channel {
 public:
  using receive_fn =
      std::function<void(const endpoint& from, std::string_view bytes)>;

  /// Calls `receive` for each datagram that arrives. Throws network_error if
  /// the address cannot be bound. With port 0 the system picks a port.
  peer_channel(event_loop& loop, const endpoint& listen, receive_fn receive);
  ~peer_channel();
  peer_channel(const peer_channel&) = delete;
  peer_channel& operator=(const peer_channel&) = delete;

  /// Sends without blocking; returns false if the datagram could not be sent.
  bool Send(const endpoint& to, std::string_view bytes);
  [[nodiscard]] const endpoint& address() const { return address_; }

 private:
  void ReceiveAll();

  receive_fn receive_;
  endpoint address_;
  int fd_;
  event_loop::handle_ptr readable_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PEERS_SKYLARKCROFT_PEER_CHANNEL_H_

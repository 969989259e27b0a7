#ifndef SKYLARKCROFT_TESTS_CLIENT_PRESSURE_CLIENT_CROWD_H_
#define SKYLARKCROFT_TESTS_CLIENT_PRESSURE_CLIENT_CROWD_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Clients that send bytes, read no answer and keep their connections open
/// until this object is destroyed.
class client_crowd {
 public:
  explicit client_crowd(const endpoint& address) : address_(address) {}
  ~client_crowd();
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;

  /// Connects `clients` more clients that send `bytes` each. Those that the
  /// node does not accept wait in the system's queue.
  void Connect(size_t clients, const std::string& bytes);
  /// Sends until every client has sent all its bytes or is disconnected, or no
  /// client has got rid of a byte for `stall`.
  void Send(milliseconds stall);
  /// As Send(), but the bytes are sent again and again, up to
  /// `bytes_of_a_client` for each.
  void SendRepeatedly(size_t bytes_of_a_client, milliseconds stall);

 private:
  struct client {
    int fd = -1;
    std::shared_ptr<const std::string> bytes;
    size_t sent = 0;
    size_t to_send = 0;
  };
  /// Returns whether some byte was sent.
  static bool Push(client& one);

  endpoint address_;
  std::vector<client> clients_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_CLIENT_PRESSURE_CLIENT_CROWD_H_

#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_SERVER_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/relay/skylarkcroft_client_connection.h"
#include "skylarkcroft/relay/skylarkcroft_idle_clients.h"
#include "skylarkcroft/relay/skylarkcroft_relay_environment.h"

struct evconnlistener;

namespace skylarkcroft {

/// Accepts client connections and owns them.
class relay_server {
 public:
  /// Throws network_error if `listen` cannot be bound.
  relay_server(relay_environment& environment, const endpoint& listen);
  ~relay_server();
  relay_server(const relay_server&) = delete;
  relay_server& operator=(const relay_server&) = delete;

  /// Takes in that other tables may be in force. Changes that are not told are
  /// seen at the next sweep, if they are still in force.
  void OnTablesChanged();
  /// Accepts the connections that the system holds for this server, however
  /// many it has.
  void AcceptPending();
  /// Accepts as AcceptPending() and closes the listening socket: the system
  /// refuses further connections.
  void StopListening();
  /// Closes the connections that neither read nor serve a request and to which
  /// none can be on its way.
  void CloseIdle(time_point now);
  /// Whether a request may be on its way to a connection.
  [[nodiscard]] bool MayAwaitRequest(time_point now) const;
  /// Ends every request in flight.
  void AbortAll();
  /// Records the end of the connections that are left when the process exits.
  void RecordExit();
  /// Whether no connection has a request in flight or partly read, bytes of an
  /// answer to send or bytes of a client to read.
  [[nodiscard]] bool IsSettled() const;
  /// Number of connections with a request in flight.
  [[nodiscard]] size_t busy() const;
  [[nodiscard]] size_t clients() const { return clients_.size(); }
  /// Whether the node takes no new connections, as all that it may have are in
  /// use.
  [[nodiscard]] bool is_full() const { return !accepting_; }
  /// The bound address; its port is never 0.
  [[nodiscard]] const endpoint& address() const { return address_; }

 private:
  void Accept(int fd);
  [[nodiscard]] std::vector<idle_client> IdleClients() const;
  /// Closes idle connections where they leave little room for new ones.
  void CloseExcessIdle(time_point now);
  void Sweep();
  /// Gives connections up while the node's memory stays short.
  void RelieveMemory(time_point now);

  relay_environment& environment_;
  endpoint address_;
  /// Null once the server has stopped listening.
  evconnlistener* listener_;
  uint64_t last_client_number_ = 0;
  std::unordered_map<uint64_t, std::unique_ptr<client_connection>> clients_;
  client_limits limits_in_force_;
  bool accepting_ = true;
  /// Since when the node's memory has been short without a break.
  std::optional<time_point> pressed_since_;
  event_loop::handle_ptr sweep_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_SERVER_H_

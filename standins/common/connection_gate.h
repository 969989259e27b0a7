#ifndef SKYLARKCROFT_STANDINS_COMMON_CONNECTION_GATE_H_
#define SKYLARKCROFT_STANDINS_COMMON_CONNECTION_GATE_H_

#include <cstdint>
#include <memory>

#include "skylarkcroft/http/skylarkcroft_http_server.h"

namespace skylarkcroft::standin {

/// Stands between a server and its handler, so that connections can be made
/// silent: they stay open, take requests, and never send another byte.
class connection_gate {
 public:
  connection_gate();
  ~connection_gate();
  connection_gate(const connection_gate&) = delete;
  connection_gate& operator=(const connection_gate&) = delete;

  /// The exchange to hand to the handler in place of `exchange`.
  [[nodiscard]] http_exchange_ptr Wrap(const http_exchange_ptr& exchange);
  /// Silences every connection whose number is at most `last_connection`.
  void Silence(uint64_t last_connection);
  /// Closes the connections of all exchanges that have not ended, silent ones
  /// included.
  void AbortAll();

 private:
  class gated_exchange;
  struct shared_state;
  std::shared_ptr<shared_state> state_;
};

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_COMMON_CONNECTION_GATE_H_

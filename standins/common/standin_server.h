#ifndef SKYLARKCROFT_STANDINS_COMMON_STANDIN_SERVER_H_
#define SKYLARKCROFT_STANDINS_COMMON_STANDIN_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "standins/common/connection_gate.h"
#include "standins/common/fault_plan.h"

namespace skylarkcroft::standin {

/// What a stand-in does with the requests that are its own.
struct standin_hooks {
  /// Answers every request outside /admin/ and /health.
  http_handler_fn handle;
  /// JSON body of `GET /admin/stats`.
  std::function<std::string()> stats;
  /// Called when a fault has been set; may be empty.
  std::function<void()> fault_set;
};

/// Server of one stand-in: one port, its administration paths, its faults, and
/// leaving with notice.
class standin_server {
 public:
  /// `modes` are the fault modes that the stand-in knows. Throws network_error
  /// when the address cannot be bound.
  standin_server(event_loop& loop, const endpoint& listen, uint64_t seed,
                 std::vector<fault_mode> modes, standin_hooks hooks);
  ~standin_server();
  standin_server(const standin_server&) = delete;
  standin_server& operator=(const standin_server&) = delete;

  [[nodiscard]] const endpoint& address() const { return address_; }
  /// True from the leave order on.
  [[nodiscard]] bool leaving() const { return leaving_; }
  /// True once the listener and all connections are closed for good.
  [[nodiscard]] bool ended() const { return server_ == nullptr; }
  [[nodiscard]] fault_plan& faults() { return faults_; }
  /// Keeps `exchange` unanswered until its peer goes.
  void Hang(const http_exchange_ptr& exchange);
  /// Closes the connection once what was written has had time to reach the
  /// peer.
  void AbortAfterFlush(const http_exchange_ptr& exchange);

 private:
  struct aborting_exchange {
    http_exchange_ptr exchange;
    event_loop::handle_ptr timer;
  };

  void Handle(const http_exchange_ptr& raw);
  /// True when the request was an administration request.
  bool HandleAdmin(const http_exchange_ptr& exchange);
  void SetFault(const http_exchange_ptr& exchange);
  void Leave(const http_exchange_ptr& exchange);
  void EndAll();

  event_loop& loop_;
  std::vector<fault_mode> modes_;
  standin_hooks hooks_;
  fault_plan faults_;
  bool leaving_ = false;
  connection_gate gate_;
  std::unique_ptr<http_server> server_;
  endpoint address_;
  std::vector<http_exchange_ptr> hung_;
  std::list<aborting_exchange> aborting_;
  event_loop::handle_ptr leave_timer_;
};

/// Answers `status` with a JSON body.
void ReplyJson(http_exchange& exchange, int status, const std::string& body,
               const http_headers& further = {});

/// Answers `status` with `{"error":{"message":...}}`.
void ReplyError(http_exchange& exchange, int status, const std::string& message,
                const http_headers& further = {});

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_COMMON_STANDIN_SERVER_H_

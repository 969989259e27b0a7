#ifndef SKYLARKCROFT_TESTS_RELAY_SOAK_LOOPBACK_PROXY_H_
#define SKYLARKCROFT_TESTS_RELAY_SOAK_LOOPBACK_PROXY_H_

#include <event2/listener.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/wire/skylarkcroft_stream_socket.h"

namespace skylarkcroft::soak {

enum class proxy_mode {
  kPass,
  kDelay,     ///< Bytes arrive late.
  kRefuse,    ///< Connections are closed, new ones too.
  kSilent,    ///< Open connections carry nothing and stay open for good.
  kOneWayIn,  ///< What the target sends is lost.
};

/// Carries TCP connections to one target and harms them on demand.
class loopback_proxy {
 public:
  loopback_proxy(event_loop& loop, const endpoint& target);
  ~loopback_proxy();
  loopback_proxy(const loopback_proxy&) = delete;
  loopback_proxy& operator=(const loopback_proxy&) = delete;

  [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }
  /// What was lost stays lost after the mode is kPass again.
  void SetMode(proxy_mode mode);

 private:
  struct pair {
    std::unique_ptr<stream_socket> caller;
    std::unique_ptr<stream_socket> target;
    bool dead = false;  ///< Lost bytes; carries nothing any more.
    bool ending = false;
    int late_to_target = 0;
    int late_to_caller = 0;
  };

  void Accept(int fd);
  size_t Carry(uint64_t number, bool to_target, std::string_view bytes);
  void Drop(uint64_t number);

  event_loop& loop_;
  endpoint target_;
  evconnlistener* listener_ = nullptr;
  uint16_t port_ = 0;
  proxy_mode mode_ = proxy_mode::kPass;
  uint64_t next_ = 0;
  std::map<uint64_t, pair> pairs_;
  std::map<uint64_t, event_loop::handle_ptr> late_;
};

}  // namespace skylarkcroft::soak

#endif  // SKYLARKCROFT_TESTS_RELAY_SOAK_LOOPBACK_PROXY_H_

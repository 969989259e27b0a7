#include "skylarkcroft/mesh/skylarkcroft_nng_transport.h"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <thread>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {
namespace {

constexpr nng_duration kMinReconnectMs = 50;
constexpr nng_duration kMaxReconnectMs = 1000;
constexpr milliseconds kRetirePeriod{1000};
// Time that nng gets to finish closing the dialers before their sockets close.
constexpr milliseconds kDialerCloseTime{100};
// Maximum number of messages read before other events get their turn.
constexpr int kMaxReadsPerEvent = 64;

std::string UrlOf(const endpoint& address) {
  return "tcp://" + ToString(address);
}

void ThrowIfFailed(int status, const endpoint& address) {
  if (status != 0) {
    throw network_error("cannot listen for nodes on " + ToString(address) +
                            ": " + nng_strerror(status),
                        "free the address or set another in listen.mesh");
  }
}

}  // namespace

nng_transport::nng_transport(event_loop& loop, const endpoint& listen,
                             nng_transport_limits limits, receive_fn receive)
    : limits_(limits), receive_(std::move(receive)), address_(listen) {
  ThrowIfFailed(nng_pull0_open(&listen_socket_), listen);
  int descriptor = -1;
  int port = 0;
  int status = nng_socket_set_int(listen_socket_, NNG_OPT_RECVBUF,
                                  limits_.receive_buffer);
  if (status == 0) {
    status = nng_socket_set_size(listen_socket_, NNG_OPT_RECVMAXSZ,
                                 limits_.max_message_bytes);
  }
  if (status == 0) {
    status = nng_listen(listen_socket_, UrlOf(listen).c_str(), &listener_, 0);
  }
  if (status == 0) {
    status = nng_listener_get_int(listener_, NNG_OPT_TCP_BOUND_PORT, &port);
  }
  if (status == 0) {
    status = nng_socket_get_int(listen_socket_, NNG_OPT_RECVFD, &descriptor);
  }
  if (status != 0) {
    nng_close(listen_socket_);
    ThrowIfFailed(status, listen);
  }
  address_.port = static_cast<uint16_t>(port);
  readable_ = loop.OnReadable(descriptor, [this] { Receive(); });
  retire_timer_ = loop.Every(kRetirePeriod, [this] { CloseRetired(); });
}

nng_transport::~nng_transport() {
  readable_.reset();
  retire_timer_.reset();
  nng_listener_close(listener_);
  while (!links_.empty()) {
    Close(recently_used_.back());
  }
  std::this_thread::sleep_for(kDialerCloseTime);
  CloseRetired();
  CloseRetired();
  nng_close(listen_socket_);
}

void nng_transport::Receive() {
  for (int reads = 0; reads < kMaxReadsPerEvent; ++reads) {
    nng_msg* message = nullptr;
    if (nng_recvmsg(listen_socket_, &message, NNG_FLAG_NONBLOCK) != 0) {
      return;
    }
    const std::string bytes(static_cast<const char*>(nng_msg_body(message)),
                            nng_msg_len(message));
    nng_msg_free(message);
    receive_(bytes);
  }
}

bool nng_transport::Send(const endpoint& to, const std::string& bytes) {
  link* open = Dial(to);
  if (open == nullptr) {
    return false;
  }
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, 0) != 0) {
    return false;
  }
  if (nng_msg_append(message, bytes.data(), bytes.size()) != 0 ||
      nng_sendmsg(open->socket, message, NNG_FLAG_NONBLOCK) != 0) {
    nng_msg_free(message);
    return false;
  }
  return true;
}

nng_transport::link* nng_transport::Dial(const endpoint& to) {
  const auto known = links_.find(to);
  if (known != links_.end()) {
    recently_used_.splice(recently_used_.begin(), recently_used_,
                          known->second.lru_position);
    return &known->second;
  }
  if (links_.size() >= limits_.max_links) {
    Close(recently_used_.back());
  }
  nng_socket socket{};
  if (nng_push0_open(&socket) != 0) {
    return nullptr;
  }
  nng_socket_set_int(socket, NNG_OPT_SENDBUF, limits_.send_buffer);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kMinReconnectMs);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kMaxReconnectMs);
  nng_dialer dialer{};
  if (nng_dial(socket, UrlOf(to).c_str(), &dialer, NNG_FLAG_NONBLOCK) != 0) {
    nng_close(socket);
    return nullptr;
  }
  recently_used_.push_front(to);
  return &links_.emplace(to, link{socket, dialer, recently_used_.begin()})
              .first->second;
}

void nng_transport::Close(const endpoint& to) {
  const auto known = links_.find(to);
  if (known == links_.end()) {
    return;
  }
  nng_dialer_close(known->second.dialer);
  retired_.push_back(known->second.socket);
  recently_used_.erase(known->second.lru_position);
  links_.erase(known);
}

// nng 1.5 can block forever in nng_close() while the socket is setting up a
// connection. Once its dialer has been closed for a while, it no longer does.
void nng_transport::CloseRetired() {
  for (const nng_socket socket : closing_) {
    nng_close(socket);
  }
  closing_ = std::exchange(retired_, {});
}

void nng_transport::Redial(const endpoint& to) { Close(to); }

}  // namespace skylarkcroft

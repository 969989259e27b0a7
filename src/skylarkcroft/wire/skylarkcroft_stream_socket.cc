#include "skylarkcroft/wire/skylarkcroft_stream_socket.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <string>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_socket_address.h"
#include "skylarkcroft/internal/skylarkcroft_socket_state.h"

namespace skylarkcroft {
namespace {

// Maximum number of bytes buffered per connection before they are consumed;
// limits the memory that a peer can occupy.
constexpr size_t kMaxUnreadBytes = 65536;

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int OpenSocket(milliseconds ack_timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    throw network_error("cannot open a TCP socket",
                        "raise the limit of open files");
  }
  SetNoDelay(fd);
  SetUserTimeout(fd, ack_timeout);
  return fd;
}

}  // namespace

class stream_socket::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(event_loop& loop, int fd, socket_events events)
      : events_(std::move(events)),
        bufferevent_(
            bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE)) {
    if (bufferevent_ == nullptr) {
      close(fd);
      throw network_error("cannot allocate the buffers of a TCP connection",
                          "raise the memory limit");
    }
    bufferevent_setcb(bufferevent_, &impl::OnRead, nullptr, &impl::OnEvent,
                      this);
    bufferevent_setwatermark(bufferevent_, EV_READ, 0, kMaxUnreadBytes);
  }
  ~impl() { Free(); }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void Free() {
    if (bufferevent_ != nullptr) {
      bufferevent_setcb(bufferevent_, nullptr, nullptr, nullptr, nullptr);
      bufferevent_free(std::exchange(bufferevent_, nullptr));
    }
  }

  void Enable() { bufferevent_enable(bufferevent_, EV_READ | EV_WRITE); }

  void Connect(const endpoint& peer) {
    const sockaddr_in address = ToSocketAddress(peer);
    Enable();
    bufferevent_socket_connect(bufferevent_,
                               reinterpret_cast<const sockaddr*>(&address),
                               sizeof address);
  }

  void DeliverUnread() {
    const std::shared_ptr<impl> self = shared_from_this();
    while (bufferevent_ != nullptr) {
      evbuffer* input = bufferevent_get_input(bufferevent_);
      const size_t size = evbuffer_get_length(input);
      if (size == 0) {
        return;
      }
      const auto* bytes =
          reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
      // Copied because the callback may destroy the socket and its buffer.
      const std::string copy(bytes, size);
      const size_t taken = events_.on_bytes(copy);
      if (bufferevent_ == nullptr || taken == 0) {
        return;
      }
      evbuffer_drain(bufferevent_get_input(bufferevent_), taken);
    }
  }

  [[nodiscard]] bufferevent* handle() const { return bufferevent_; }
  [[nodiscard]] bool was_established() const { return established_; }

 private:
  static void OnRead(bufferevent* /*raw*/, void* self) {
    static_cast<impl*>(self)->DeliverUnread();
  }

  static void OnEvent(bufferevent* /*raw*/, int16_t what, void* context) {
    const int error = EVUTIL_SOCKET_ERROR();
    const std::shared_ptr<impl> self =
        static_cast<impl*>(context)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      self->established_ = true;
      self->events_.on_connected();
      return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      // The system gives these errors for connections that were set up alone.
      const bool ended_by_peer =
          (what & BEV_EVENT_EOF) != 0 || error == ECONNRESET || error == EPIPE;
      self->established_ = self->established_ || ended_by_peer;
      self->events_.on_closed((what & BEV_EVENT_ERROR) == 0);
    }
  }

  socket_events events_;
  bufferevent* bufferevent_;
  bool established_ = false;
};

stream_socket::stream_socket(event_loop& loop, int fd, socket_events events) {
  SetNoDelay(fd);
  impl_ = std::make_shared<impl>(loop, fd, std::move(events));
  impl_->Enable();
}

stream_socket::stream_socket(event_loop& loop, const endpoint& peer,
                             milliseconds ack_timeout, socket_events events)
    : impl_(std::make_shared<impl>(loop, OpenSocket(ack_timeout),
                                   std::move(events))) {
  impl_->Connect(peer);
}

stream_socket::~stream_socket() { impl_->Free(); }

void stream_socket::Write(std::string_view bytes) {
  bufferevent_write(impl_->handle(), bytes.data(), bytes.size());
}

void stream_socket::WriteShared(std::shared_ptr<const std::string> bytes) {
  using reference = std::shared_ptr<const std::string>;
  auto kept = std::make_unique<reference>(std::move(bytes));
  evbuffer* output = bufferevent_get_output(impl_->handle());
  const int failure = evbuffer_add_reference(
      output, (*kept)->data(), (*kept)->size(),
      [](const void* /*data*/, size_t /*size*/, void* context) {
        delete static_cast<reference*>(context);
      },
      kept.get());
  if (failure == 0) {
    // Owned by the buffer from here on.
    static_cast<void>(kept.release());
  }
}

void stream_socket::DeliverUnread() { impl_->DeliverUnread(); }

void stream_socket::SetReceiveBuffer(int bytes) {
  setsockopt(bufferevent_getfd(impl_->handle()), SOL_SOCKET, SO_RCVBUF, &bytes,
             sizeof bytes);
}

void stream_socket::SetReading(bool reading) {
  if (reading) {
    bufferevent_enable(impl_->handle(), EV_READ);
  } else {
    bufferevent_disable(impl_->handle(), EV_READ);
  }
}

bool stream_socket::HasPeerClosed() const {
  return skylarkcroft::HasPeerClosed(bufferevent_getfd(impl_->handle()));
}

bool stream_socket::was_established() const { return impl_->was_established(); }

void stream_socket::SetAckTimeout(milliseconds ack_timeout) {
  SetUserTimeout(bufferevent_getfd(impl_->handle()), ack_timeout);
}

void stream_socket::ResetOnClose() {
  SetResetOnClose(bufferevent_getfd(impl_->handle()), true);
}

void stream_socket::ShutdownWrite() {
  shutdown(bufferevent_getfd(impl_->handle()), SHUT_WR);
}

size_t stream_socket::unsent() const {
  return evbuffer_get_length(bufferevent_get_output(impl_->handle()));
}

size_t stream_socket::unconsumed() const {
  return evbuffer_get_length(bufferevent_get_input(impl_->handle()));
}

size_t stream_socket::undelivered() const {
  return unsent() + UnacknowledgedBytes(bufferevent_getfd(impl_->handle()));
}

bool stream_socket::HasUnread() const {
  return evbuffer_get_length(bufferevent_get_input(impl_->handle())) > 0 ||
         HasUnreadBytes(bufferevent_getfd(impl_->handle()));
}

}  // namespace skylarkcroft

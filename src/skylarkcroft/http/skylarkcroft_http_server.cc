#include "skylarkcroft/http/skylarkcroft_http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "skylarkcroft/http/skylarkcroft_connection_table.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_socket_state.h"

namespace skylarkcroft {
namespace {

constexpr int kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                            EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                            EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

const char* MethodName(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "UNKNOWN";
  }
}

http_request ReadRequest(evhttp_request* raw) {
  http_request request;
  request.method = MethodName(evhttp_request_get_command(raw));
  request.target = evhttp_request_get_uri(raw);
  const evkeyvalq* headers = evhttp_request_get_input_headers(raw);
  for (const evkeyval* field = headers->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    request.headers.Add(field->key, field->value);
  }
  evbuffer* input = evhttp_request_get_input_buffer(raw);
  request.body.resize(evbuffer_get_length(input));
  evbuffer_copyout(input, request.body.data(), request.body.size());
  return request;
}

void DisableNagle(evhttp_connection* connection) {
  bufferevent* stream = evhttp_connection_get_bufferevent(connection);
  const int on = 1;
  setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on,
             sizeof(on));
}

timeval ToTimeval(milliseconds span) {
  constexpr int kMillisPerSecond = 1000;
  return {span.count() / kMillisPerSecond,
          (span.count() % kMillisPerSecond) * kMillisPerSecond};
}

// The table of connections measures silence itself: evhttp would close a
// connection whose request arrived while the loop stood still.
constexpr timeval kNoEvhttpTimeout{365 * 24 * 3600, 0};

// What a server shares with its exchanges.
struct server_state {
  server_state(const connection_limits& limits, timeval timeout)
      : connections(limits, SteadyNow), io_timeout(timeout) {}

  connection_table connections;
  timeval io_timeout;
  /// Exchanges whose answers have not ended.
  size_t open_count = 0;
};
using server_state_ptr = std::shared_ptr<server_state>;

// Passes of the loop for which a server that stops still accepts, so that a
// flood of connections does not keep it open.
constexpr int kAcceptPasses = 16;

bool HasWaitingConnection(int listening_fd) {
  pollfd waiting{listening_fd, POLLIN, 0};
  return poll(&waiting, 1, 0) > 0;
}

class exchange final : public http_exchange {
 public:
  exchange(evhttp_request* raw, server_state_ptr server)
      : raw_(raw),
        connection_(evhttp_request_get_connection(raw)),
        server_(std::move(server)),
        connection_number_(server_->connections.NumberOf(Stream())),
        request_(ReadRequest(raw)) {
    ++server_->open_count;
    DisableNagle(connection_);
    // A long answer must not be cut by the timeout on receiving.
    bufferevent_set_timeouts(Stream(), nullptr, &server_->io_timeout);
    evhttp_connection_set_closecb(connection_, &exchange::OnClose, this);
    server_->connections.OnRequest(Stream());
  }
  ~exchange() override { EndIfOpen(); }
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  const http_request& request() const override { return request_; }

  void Reply(const http_response& response) override {
    if (raw_ == nullptr) {
      return;
    }
    AddHeaders(response.headers);
    if (connection_ == nullptr) {
      Release();
      return;
    }
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, response.body.data(), response.body.size());
    evhttp_request* raw = Detach();
    evhttp_send_reply(raw, response.status, nullptr, body);
    evbuffer_free(body);
  }

  void Start(int status, const http_headers& headers) override {
    if (raw_ == nullptr || connection_ == nullptr) {
      return;
    }
    AddHeaders(headers);
    evhttp_send_reply_start(raw_, status, nullptr);
    started_ = true;
  }

  void Write(std::string_view data) override {
    if (raw_ == nullptr || connection_ == nullptr || data.empty()) {
      return;
    }
    evbuffer* chunk = evbuffer_new();
    evbuffer_add(chunk, data.data(), data.size());
    evhttp_send_reply_chunk(raw_, chunk);
    evbuffer_free(chunk);
  }

  void End() override {
    if (raw_ == nullptr) {
      return;
    }
    evhttp_request* raw = Detach();
    evhttp_send_reply_end(raw);
  }

  void Abort() override {
    if (raw_ == nullptr) {
      return;
    }
    evhttp_connection* connection = connection_;
    evhttp_request* raw = Detach();
    if (connection != nullptr) {
      // Frees the connection, and leaves the request to be released below.
      bufferevent* stream = evhttp_connection_get_bufferevent(connection);
      shutdown(bufferevent_getfd(stream), SHUT_RDWR);
    }
    evhttp_send_reply_end(raw);
  }

  bool closed() const override {
    return raw_ == nullptr || connection_ == nullptr;
  }

  size_t pending_bytes() const override {
    if (closed()) {
      return 0;
    }
    return evbuffer_get_length(bufferevent_get_output(Stream()));
  }

  uint64_t connection_number() const override { return connection_number_; }

  void OnPeerGone(std::function<void()> call) override {
    peer_gone_ = std::move(call);
  }

 private:
  static void OnClose(evhttp_connection* /*connection*/, void* self) {
    auto* closing = static_cast<exchange*>(self);
    closing->connection_ = nullptr;
    if (evhttp_request_get_connection(closing->raw_) != nullptr) {
      // The server is going: evhttp frees the request with its connection.
      closing->raw_ = nullptr;
      --closing->server_->open_count;
    }
    const std::function<void()> call = std::move(closing->peer_gone_);
    closing->peer_gone_ = nullptr;
    if (call) {
      call();
    }
  }

  void AddHeaders(const http_headers& headers) {
    evkeyvalq* output = evhttp_request_get_output_headers(raw_);
    for (const header_view field : headers.fields()) {
      evhttp_add_header(output, std::string(field.name).c_str(),
                        std::string(field.value).c_str());
    }
  }

  // Gives up the request, so that it can be ended.
  evhttp_request* Detach() {
    --server_->open_count;
    peer_gone_ = nullptr;
    if (connection_ != nullptr) {
      evhttp_connection_set_closecb(connection_, nullptr, nullptr);
      bufferevent_set_timeouts(Stream(), nullptr, &server_->io_timeout);
      server_->connections.OnAnswered(Stream(), SteadyNow());
    }
    return std::exchange(raw_, nullptr);
  }

  // Frees a request whose connection has gone.
  void Release() { evhttp_send_reply_end(Detach()); }

  void EndIfOpen() {
    if (raw_ == nullptr) {
      return;
    }
    if (connection_ == nullptr) {
      Release();
      return;
    }
    if (started_) {
      Abort();
      return;
    }
    constexpr int kInternalServerError = 500;
    evhttp_send_error(Detach(), kInternalServerError, nullptr);
  }

  [[nodiscard]] bufferevent* Stream() const {
    return evhttp_connection_get_bufferevent(connection_);
  }

  evhttp_request* raw_;
  evhttp_connection* connection_;
  server_state_ptr server_;
  uint64_t connection_number_;
  http_request request_;
  std::function<void()> peer_gone_;
  bool started_ = false;
};

uint16_t BoundPort(evhttp_bound_socket* bound) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  getsockname(evhttp_bound_socket_get_fd(bound),
              reinterpret_cast<sockaddr*>(&storage), &size);
  if (storage.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port);
  }
  return ntohs(reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

connection_limits ToConnectionLimits(const http_server_limits& limits) {
  // Framing of a chunked body.
  constexpr size_t kSlackBytes = 64 * 1024;
  return {limits.io_timeout, limits.request_timeout,
          limits.max_header_bytes + limits.max_body_bytes + kSlackBytes,
          limits.max_connections};
}

milliseconds SweepPeriod(const http_server_limits& limits) {
  constexpr milliseconds kLongest{1000};
  constexpr milliseconds kShortest{1};
  constexpr int kSweepsPerTimeout = 4;
  return std::clamp(
      std::min(limits.request_timeout, limits.io_timeout) / kSweepsPerTimeout,
      kShortest, kLongest);
}

}  // namespace

class http_server::impl {
 public:
  impl(event_loop& loop, const endpoint& listen,
       const http_server_limits& limits, http_handler_fn handler)
      : loop_(loop),
        handler_(std::move(handler)),
        state_(std::make_shared<server_state>(ToConnectionLimits(limits),
                                              ToTimeval(limits.io_timeout))),
        http_(evhttp_new(loop.base())),
        address_(listen),
        sweep_(loop.Every(SweepPeriod(limits),
                          [this] { state_->connections.Sweep(SteadyNow()); })) {
    evhttp_set_allowed_methods(http_, kAllMethods);
    evhttp_set_max_headers_size(http_,
                                static_cast<ssize_t>(limits.max_header_bytes));
    evhttp_set_max_body_size(http_,
                             static_cast<ssize_t>(limits.max_body_bytes));
    evhttp_set_timeout_tv(http_, &kNoEvhttpTimeout);
    evhttp_set_default_content_type(http_, nullptr);
    evhttp_set_gencb(http_, &impl::OnRequest, this);
    evhttp_set_bevcb(http_, &impl::OnAccept, this);
    bound_ =
        evhttp_bind_socket_with_handle(http_, listen.host.c_str(), listen.port);
    if (bound_ == nullptr) {
      evhttp_free(http_);
      throw network_error("cannot listen on " + ToString(listen),
                          "choose an address of this host and a free port");
    }
    address_.port = BoundPort(bound_);
  }
  ~impl() {
    // Its references must go first: evhttp closes the descriptors, and an event
    // removed after that would be removed from the next owner of the number.
    state_->connections.Clear();
    evhttp_free(http_);
  }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void StopAccepting() {
    if (!is_stopping_) {
      is_stopping_ = true;
      CloseWhenAccepted(kAcceptPasses);
    }
  }

  const endpoint& address() const { return address_; }
  size_t open_exchanges() const { return state_->open_count; }
  bool has_bytes_waiting() const {
    return (is_stopping_ && bound_ != nullptr) ||
           state_->connections.HasBytesWaiting();
  }
  uint64_t connections_accepted() const {
    return state_->connections.accepted();
  }
  size_t open_connections() const { return state_->connections.size(); }

 private:
  // The kernel resets the connections that it holds when the socket is closed,
  // and evhttp accepts them in the next pass of the loop.
  void CloseWhenAccepted(int passes_left) {
    if (passes_left > 0 &&
        HasWaitingConnection(evhttp_bound_socket_get_fd(bound_))) {
      accepting_ = loop_.After(
          {}, [this, passes_left] { CloseWhenAccepted(passes_left - 1); });
      return;
    }
    evhttp_del_accept_socket(http_, bound_);
    bound_ = nullptr;
  }

  static bufferevent* OnAccept(event_base* base, void* self) {
    return static_cast<impl*>(self)->state_->connections.Accept(base);
  }

  static void OnRequest(evhttp_request* raw, void* self) {
    auto* server = static_cast<impl*>(self);
    const auto started = std::make_shared<exchange>(raw, server->state_);
    if (HasPeerClosed(bufferevent_getfd(evhttp_connection_get_bufferevent(
            evhttp_request_get_connection(raw))))) {
      // After a pause of the loop, peers that gave up meanwhile have left their
      // requests in the sockets' buffers.
      started->Abort();
      return;
    }
    server->handler_(started);
  }

  event_loop& loop_;
  http_handler_fn handler_;
  server_state_ptr state_;
  evhttp* http_;
  evhttp_bound_socket* bound_ = nullptr;
  endpoint address_;
  event_loop::handle_ptr sweep_;
  event_loop::handle_ptr accepting_;
  bool is_stopping_ = false;
};

http_server::http_server(event_loop& loop, const endpoint& listen,
                         const http_server_limits& limits,
                         http_handler_fn handler)
    : impl_(std::make_unique<impl>(loop, listen, limits, std::move(handler))) {}

http_server::~http_server() = default;

const endpoint& http_server::address() const { return impl_->address(); }

void http_server::StopAccepting() { impl_->StopAccepting(); }

size_t http_server::open_exchanges() const { return impl_->open_exchanges(); }

bool http_server::has_bytes_waiting() const {
  return impl_->has_bytes_waiting();
}

uint64_t http_server::connections_accepted() const {
  return impl_->connections_accepted();
}

size_t http_server::open_connections() const {
  return impl_->open_connections();
}

}  // namespace skylarkcroft

#include "skylarkcroft/http/skylarkcroft_http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <unordered_map>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

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

// evhttp stops reading at the end of a request's body, and then does not learn
// that the peer has closed. Reading on finds that out; what arrives early stays
// buffered, up to a bound, until the answer has ended.
void WatchForClose(evhttp_connection* connection) {
  constexpr size_t kMaxEarlyBytes = 64 * 1024;
  bufferevent* stream = evhttp_connection_get_bufferevent(connection);
  bufferevent_data_cb on_write = nullptr;
  bufferevent_event_cb on_event = nullptr;
  void* argument = nullptr;
  bufferevent_getcb(stream, nullptr, &on_write, &on_event, &argument);
  bufferevent_setcb(stream, nullptr, on_write, on_event, argument);
  bufferevent_setwatermark(stream, EV_READ, 0, kMaxEarlyBytes);
  bufferevent_enable(stream, EV_READ);
}

void StopWatchingForClose(evhttp_connection* connection) {
  bufferevent* stream = evhttp_connection_get_bufferevent(connection);
  bufferevent_setwatermark(stream, EV_READ, 0, 0);
}

timeval ToTimeval(milliseconds span) {
  constexpr int kMillisPerSecond = 1000;
  return {span.count() / kMillisPerSecond,
          (span.count() % kMillisPerSecond) * kMillisPerSecond};
}

class exchange final : public http_exchange {
 public:
  exchange(evhttp_request* raw, timeval io_timeout,
           std::shared_ptr<size_t> open_count, uint64_t connection_number)
      : raw_(raw),
        connection_number_(connection_number),
        connection_(evhttp_request_get_connection(raw)),
        io_timeout_(io_timeout),
        open_count_(std::move(open_count)),
        request_(ReadRequest(raw)) {
    ++*open_count_;
    DisableNagle(connection_);
    // A long answer must not be cut by the timeout on receiving.
    bufferevent_set_timeouts(evhttp_connection_get_bufferevent(connection_),
                             nullptr, &io_timeout_);
    evhttp_connection_set_closecb(connection_, &exchange::OnClose, this);
    WatchForClose(connection_);
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
    bufferevent* stream = evhttp_connection_get_bufferevent(connection_);
    return evbuffer_get_length(bufferevent_get_output(stream));
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
      --*closing->open_count_;
    }
    const std::function<void()> call = std::move(closing->peer_gone_);
    closing->peer_gone_ = nullptr;
    if (call) {
      call();
    }
  }

  void AddHeaders(const http_headers& headers) {
    evkeyvalq* output = evhttp_request_get_output_headers(raw_);
    for (const http_header& field : headers.fields()) {
      evhttp_add_header(output, field.name.c_str(), field.value.c_str());
    }
  }

  // Gives up the request, so that it can be ended; the connection goes back to
  // its timeout on receiving.
  evhttp_request* Detach() {
    --*open_count_;
    peer_gone_ = nullptr;
    if (connection_ != nullptr) {
      StopWatchingForClose(connection_);
      evhttp_connection_set_closecb(connection_, nullptr, nullptr);
      bufferevent_set_timeouts(evhttp_connection_get_bufferevent(connection_),
                               &io_timeout_, &io_timeout_);
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

  evhttp_request* raw_;
  uint64_t connection_number_;
  evhttp_connection* connection_;
  timeval io_timeout_;
  std::shared_ptr<size_t> open_count_;
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

}  // namespace

class http_server::impl {
 public:
  impl(event_loop& loop, const endpoint& listen,
       const http_server_limits& limits, http_handler_fn handler)
      : handler_(std::move(handler)),
        io_timeout_(ToTimeval(limits.io_timeout)),
        open_count_(std::make_shared<size_t>(0)),
        http_(evhttp_new(loop.base())),
        address_(listen) {
    evhttp_set_allowed_methods(http_, kAllMethods);
    evhttp_set_max_headers_size(http_,
                                static_cast<ssize_t>(limits.max_header_bytes));
    evhttp_set_max_body_size(http_,
                             static_cast<ssize_t>(limits.max_body_bytes));
    evhttp_set_timeout_tv(http_, &io_timeout_);
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
  ~impl() { evhttp_free(http_); }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void StopAccepting() {
    if (bound_ == nullptr) {
      return;
    }
    evhttp_del_accept_socket(http_, bound_);
    bound_ = nullptr;
  }

  const endpoint& address() const { return address_; }
  size_t open_exchanges() const { return *open_count_; }
  uint64_t connections_accepted() const { return accepted_; }

 private:
  static bufferevent* OnAccept(event_base* base, void* self) {
    auto* server = static_cast<impl*>(self);
    bufferevent* stream = bufferevent_socket_new(base, -1, 0);
    // A freed connection's address may return; its entry is then replaced.
    server->numbers_[stream] = ++server->accepted_;
    return stream;
  }

  static void OnRequest(evhttp_request* raw, void* self) {
    auto* server = static_cast<impl*>(self);
    const bufferevent* stream =
        evhttp_connection_get_bufferevent(evhttp_request_get_connection(raw));
    server->handler_(std::make_shared<exchange>(raw, server->io_timeout_,
                                                server->open_count_,
                                                server->numbers_[stream]));
  }

  http_handler_fn handler_;
  timeval io_timeout_;
  std::shared_ptr<size_t> open_count_;
  evhttp* http_;
  evhttp_bound_socket* bound_ = nullptr;
  endpoint address_;
  uint64_t accepted_ = 0;
  std::unordered_map<const bufferevent*, uint64_t> numbers_;
};

http_server::http_server(event_loop& loop, const endpoint& listen,
                         const http_server_limits& limits,
                         http_handler_fn handler)
    : impl_(std::make_unique<impl>(loop, listen, limits, std::move(handler))) {}

http_server::~http_server() = default;

const endpoint& http_server::address() const { return impl_->address(); }

void http_server::StopAccepting() { impl_->StopAccepting(); }

size_t http_server::open_exchanges() const { return impl_->open_exchanges(); }

uint64_t http_server::connections_accepted() const {
  return impl_->connections_accepted();
}

}  // namespace skylarkcroft

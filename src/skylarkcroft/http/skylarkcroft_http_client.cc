#include "skylarkcroft/http/skylarkcroft_http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_socket_state.h"

namespace skylarkcroft {
namespace {

constexpr size_t kMaxIdlePerPeer = 64;
constexpr milliseconds kMaxIdleAge{15000};
constexpr milliseconds kIdleSweepPeriod{5000};
constexpr size_t kMaxResponseHeaderBytes = 64 * 1024;
constexpr int kContinue = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
// A peer sends one or two interim responses, if any.
constexpr int kMaxInterimResponses = 16;
// The client measures silence itself: evhttp would end a call whose response
// arrived while the loop stood still.
constexpr timeval kNoEvhttpTimeout{365 * 24 * 3600, 0};
// Time until the loop has read what lies in a socket.
constexpr milliseconds kUnreadBytesDelay{1};
// Time between two questions whether a silent call may end.
constexpr milliseconds kSilentCallDelay{50};
// The system counts the time of unacknowledged bytes from its first repeat
// after a probe of the loss, at least this long after it sent them.
constexpr milliseconds kFirstRepeatDelay{400};

struct method_command {
  const char* name;
  evhttp_cmd_type command;
};

constexpr std::array<method_command, 7> kMethods = {{
    {"GET", EVHTTP_REQ_GET},
    {"POST", EVHTTP_REQ_POST},
    {"HEAD", EVHTTP_REQ_HEAD},
    {"PUT", EVHTTP_REQ_PUT},
    {"DELETE", EVHTTP_REQ_DELETE},
    {"OPTIONS", EVHTTP_REQ_OPTIONS},
    {"PATCH", EVHTTP_REQ_PATCH},
}};

evhttp_cmd_type CommandOf(const std::string& method) {
  for (const method_command& known : kMethods) {
    if (method == known.name) {
      return known.command;
    }
  }
  return EVHTTP_REQ_GET;
}

http_headers ReadHeaders(evhttp_request* raw) {
  http_headers headers;
  const evkeyvalq* input = evhttp_request_get_input_headers(raw);
  for (const evkeyval* field = input->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    headers.Add(field->key, field->value);
  }
  return headers;
}

http_outcome OutcomeOf(evhttp_request_error failure) {
  switch (failure) {
    case EVREQ_HTTP_TIMEOUT:
      return http_outcome::kTimedOut;
    case EVREQ_HTTP_INVALID_HEADER:
    case EVREQ_HTTP_DATA_TOO_LONG:
      return http_outcome::kMalformed;
    default:
      return http_outcome::kBroken;
  }
}

}  // namespace

std::string_view ToString(http_outcome outcome) {
  switch (outcome) {
    case http_outcome::kComplete:
      return "complete";
    case http_outcome::kConnectFailed:
      return "connect_failed";
    case http_outcome::kBroken:
      return "broken";
    case http_outcome::kTimedOut:
      return "timed_out";
    case http_outcome::kMalformed:
      return "malformed";
  }
  return "unknown";
}

class http_client::impl : public std::enable_shared_from_this<impl> {
 public:
  // A connection with at most one call on it.
  struct connection {
    explicit connection(evhttp_connection* opened, endpoint address)
        : raw(opened), peer(std::move(address)) {
      bufferevent* stream = evhttp_connection_get_bufferevent(raw);
      evbuffer_add_cb(bufferevent_get_output(stream), &connection::OnOutput,
                      this);
      evbuffer_add_cb(bufferevent_get_input(stream), &connection::OnInput,
                      this);
    }
    ~connection() { evhttp_connection_free(raw); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    static void OnOutput(evbuffer* /*output*/, const evbuffer_cb_info* change,
                         void* self) {
      if (change->n_deleted > 0) {
        auto* link = static_cast<connection*>(self);
        link->sent = true;
        link->last_progress = SteadyNow();
        link->LimitUnacknowledged(link->last_progress);
      }
    }

    static void OnInput(evbuffer* input, const evbuffer_cb_info* change,
                        void* self) {
      auto* link = static_cast<connection*>(self);
      if (change->n_added == 0) {
        return;
      }
      link->last_progress = SteadyNow();
      link->request_undelivered =
          link->request_undelivered && link->UndeliveredBytes() > 0;
      const bool overflows = evbuffer_get_length(input) > link->max_unread;
      if (overflows && link->on_overflow != nullptr) {
        std::exchange(link->on_overflow, nullptr)();
      }
    }

    // Bytes of requests that the peer's system has not acknowledged.
    [[nodiscard]] size_t UndeliveredBytes() const {
      bufferevent* stream = evhttp_connection_get_bufferevent(raw);
      return evbuffer_get_length(bufferevent_get_output(stream)) +
             UnacknowledgedBytes(fd());
    }

    // A call without a total limit leaves the time to the system.
    void LimitUnacknowledged(time_point now) const {
      if (ends_at == time_point::max()) {
        SetUserTimeout(fd(), milliseconds(0));
        return;
      }
      const auto left = std::chrono::duration_cast<milliseconds>(
          ends_at - now - kFirstRepeatDelay);
      SetUserTimeout(fd(), std::max(left, milliseconds(1)));
    }

    // The system would go on sending bytes that the peer has not acknowledged
    // after an ordinary close, also when the process has ended.
    void SetResetOnClose(bool resets) const {
      skylarkcroft::SetResetOnClose(fd(), resets);
    }

    [[nodiscard]] bool HasUnread() const {
      return fd() >= 0 && HasUnreadBytes(fd());
    }

    // Negative before the socket was opened.
    [[nodiscard]] evutil_socket_t fd() const {
      return bufferevent_getfd(evhttp_connection_get_bufferevent(raw));
    }

    evhttp_connection* raw;
    endpoint peer;
    bool sent = false;
    time_point last_progress{};
    time_point idle_since{};
    // When the call on it reaches its total limit.
    time_point ends_at = time_point::max();
    // Whether the peer's system lacks bytes of the call's request; kept up to
    // date until it has them all.
    bool request_undelivered = false;
    size_t max_unread = SIZE_MAX;
    // Called once, when more than max_unread bytes lie unread.
    std::function<void()> on_overflow;
  };
  using connection_ptr = std::unique_ptr<connection>;

  struct call_state {
    uint64_t id = 0;
    impl* client = nullptr;
    endpoint peer;
    connection_ptr link;
    http_call_events events;
    bool reuse = true;
    std::function<bool(const http_response&)> may_keep;
    bool cancelled = false;
    bool nagle_disabled = false;
    int interim_responses = 0;
    bool malformed = false;
    bool response_begun = false;
    http_outcome failure = http_outcome::kConnectFailed;
    milliseconds progress_timeout{};
    event_loop::handle_ptr connect_timer;
    event_loop::handle_ptr total_timer;
    event_loop::handle_ptr progress_timer;
  };

  explicit impl(event_loop& loop)
      : loop_(loop),
        sweep_(loop.Every(kIdleSweepPeriod, [this] { DropOld(SteadyNow()); })) {
  }

  // Returns the id of the call; unlike its address, an id is never used again.
  uint64_t Send(const endpoint& peer, const http_request& request,
                const http_call_options& options, http_call_events events) {
    auto owned = std::make_unique<call_state>();
    call_state* state = owned.get();
    state->id = next_id_++;
    state->client = this;
    state->peer = peer;
    state->events = std::move(events);
    state->reuse = options.reuse_connection;
    state->may_keep = options.may_keep_connection;
    state->link = options.reuse_connection ? TakeIdle(peer) : nullptr;
    if (state->link == nullptr) {
      state->link = Open(peer);
      state->connect_timer =
          loop_.After(options.connect_timeout,
                      [this, id = state->id] { OnConnectLimit(id); });
    }
    if (options.total_timeout > milliseconds(0)) {
      state->total_timer = loop_.After(
          options.total_timeout, [this, id = state->id] { OnTotalLimit(id); });
    }
    const time_point now = SteadyNow();
    state->link->sent = false;
    state->link->request_undelivered = true;
    state->link->max_unread =
        options.max_unread_bytes > 0
            ? options.max_unread_bytes
            : options.max_body_bytes + kMaxResponseHeaderBytes;
    state->link->on_overflow = [this, id = state->id] { EndOverflowed(id); };
    state->link->last_progress = now;
    state->link->ends_at = options.total_timeout > milliseconds(0)
                               ? now + options.total_timeout
                               : time_point::max();
    state->progress_timeout = options.progress_timeout;
    CheckProgressAfter(*state, options.progress_timeout);
    live_.emplace(state->id, std::move(owned));
    Configure(*state, options);
    evhttp_request* raw = MakeRequest(peer, request, state);
    const uint64_t id = state->id;
    if (evhttp_make_request(state->link->raw, raw, CommandOf(request.method),
                            request.target.c_str()) != 0) {
      FailLater(id);
    }
    // An address that cannot be resolved ends the call at once.
    const auto started = live_.find(id);
    if (started != live_.end()) {
      started->second->link->SetResetOnClose(true);
    }
    return id;
  }

  void Cancel(uint64_t id) {
    const auto found = live_.find(id);
    if (found == live_.end()) {
      return;
    }
    found->second->cancelled = true;
    // This may run inside one of the call's callbacks, so they and its
    // connection go later.
    loop_.Defer([weak = weak_from_this(), id] {
      if (const auto client = weak.lock()) {
        client->live_.erase(id);
      }
    });
  }

  void DropIdle(const endpoint& peer) { idle_.erase(peer); }
  [[nodiscard]] event_loop& loop() const { return loop_; }

 private:
  connection_ptr TakeIdle(const endpoint& peer) {
    const auto found = idle_.find(peer);
    if (found == idle_.end() || found->second.empty()) {
      return nullptr;
    }
    connection_ptr link = std::move(found->second.back());
    found->second.pop_back();
    if (HasStrayBytes(*link)) {
      FreeLater(std::move(link));
      return nullptr;
    }
    return link;
  }

  // Bytes behind a whole response belong to no request; they would be taken
  // for the response to the next one.
  static bool HasStrayBytes(const connection& link) {
    bufferevent* stream = evhttp_connection_get_bufferevent(link.raw);
    return evbuffer_get_length(bufferevent_get_input(stream)) > 0 ||
           HasUnreadBytes(bufferevent_getfd(stream));
  }

  connection_ptr Open(const endpoint& peer) {
    evhttp_connection* raw = evhttp_connection_base_new(
        loop_.base(), nullptr, peer.host.c_str(), peer.port);
    return std::make_unique<connection>(raw, peer);
  }

  static void Configure(call_state& state, const http_call_options& options) {
    evhttp_connection* raw = state.link->raw;
    evhttp_connection_set_timeout_tv(raw, &kNoEvhttpTimeout);
    evhttp_connection_set_retries(raw, 0);
    evhttp_connection_set_max_body_size(
        raw, static_cast<ssize_t>(options.max_body_bytes));
    evhttp_connection_set_max_headers_size(raw, kMaxResponseHeaderBytes);
  }

  static evhttp_request* MakeRequest(const endpoint& peer,
                                     const http_request& request,
                                     call_state* state) {
    evhttp_request* raw = evhttp_request_new(&impl::OnDone, state);
    evkeyvalq* output = evhttp_request_get_output_headers(raw);
    for (const header_view field : request.headers.fields()) {
      evhttp_add_header(output, std::string(field.name).c_str(),
                        std::string(field.value).c_str());
    }
    if (!request.headers.Has("Host")) {
      evhttp_add_header(output, "Host", ToString(peer).c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(raw), request.body.data(),
                 request.body.size());
    evhttp_request_set_error_cb(raw, &impl::OnError);
    evhttp_request_set_header_cb(raw, &impl::OnHeaders);
    if (state->events.on_data) {
      evhttp_request_set_chunked_cb(raw, &impl::OnData);
    }
    return raw;
  }

  void FailLater(uint64_t id) {
    loop_.Defer([weak = weak_from_this(), id] {
      const auto client = weak.lock();
      if (client == nullptr || client->live_.count(id) == 0) {
        return;
      }
      client->Finish(id, {http_outcome::kConnectFailed, false});
    });
  }

  // The request is written as soon as the connection stands.
  void OnConnectLimit(uint64_t id) {
    const auto found = live_.find(id);
    if (found == live_.end() || found->second->link->sent) {
      return;
    }
    EndAtLimit(id, {http_outcome::kConnectFailed, false});
  }

  void OnTotalLimit(uint64_t id) {
    const auto found = live_.find(id);
    if (found == live_.end()) {
      return;
    }
    const bool sent = found->second->link->sent;
    EndAtLimit(
        id,
        {sent ? http_outcome::kTimedOut : http_outcome::kConnectFailed, sent});
  }

  void CheckProgressAfter(call_state& state, duration delay) {
    state.progress_timer =
        loop_.After(delay, [this, id = state.id] { CheckProgress(id); });
  }

  void CheckProgress(uint64_t id) {
    const auto found = live_.find(id);
    if (found == live_.end()) {
      return;
    }
    call_state& state = *found->second;
    const connection& link = *state.link;
    const duration left =
        link.last_progress + state.progress_timeout - SteadyNow();
    if (left > duration(0)) {
      CheckProgressAfter(state, left);
      return;
    }
    if (link.HasUnread()) {
      CheckProgressAfter(state, kUnreadBytesDelay);
      return;
    }
    const bool may_end = !link.sent || state.cancelled ||
                         !state.events.may_end_silent ||
                         state.events.may_end_silent();
    if (!may_end) {
      CheckProgressAfter(state, kSilentCallDelay);
      return;
    }
    EndAtLimit(
        id, {link.sent ? http_outcome::kTimedOut : http_outcome::kConnectFailed,
             link.sent});
  }

  // evhttp does not bound the line before a chunk, nor what arrives while it
  // still writes the request.
  void EndOverflowed(uint64_t id) {
    loop_.Defer([weak = weak_from_this(), id] {
      const auto client = weak.lock();
      if (client != nullptr && client->live_.count(id) > 0) {
        client->EndAtLimit(id, {http_outcome::kMalformed});
      }
    });
  }

  // Only from a timer or deferred: no callback of evhttp is under way, so the
  // connection goes at once and calls nothing more.
  void EndAtLimit(uint64_t id, const http_result& result) {
    live_.at(id)->link.reset();
    Finish(id, result);
  }

  static void OnError(evhttp_request_error failure, void* argument) {
    static_cast<call_state*>(argument)->failure = OutcomeOf(failure);
  }

  static int OnHeaders(evhttp_request* raw, void* argument) {
    auto* state = static_cast<call_state*>(argument);
    if (state->cancelled) {
      return 0;
    }
    if (!state->nagle_disabled) {
      DisableNagle(*state);
    }
    const int status = evhttp_request_get_response_code(raw);
    if (status == kContinue) {
      ++state->interim_responses;
    }
    // evhttp takes any other number for the status of the final response.
    const bool is_final = status >= kFirstFinalStatus && status <= kLastStatus;
    const bool is_interim =
        status == kContinue && state->interim_responses <= kMaxInterimResponses;
    if (!is_final && !is_interim) {
      state->malformed = true;
      return -1;
    }
    state->response_begun = state->response_begun || is_final;
    if (is_final && state->events.on_headers) {
      state->events.on_headers(status, ReadHeaders(raw));
    }
    return 0;
  }

  static void DisableNagle(call_state& state) {
    bufferevent* stream = evhttp_connection_get_bufferevent(state.link->raw);
    const int on = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
    state.nagle_disabled = true;
  }

  static void OnData(evhttp_request* raw, void* argument) {
    auto* state = static_cast<call_state*>(argument);
    evbuffer* input = evhttp_request_get_input_buffer(raw);
    std::string data(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, data.data(), data.size());
    if (!state->cancelled && !data.empty()) {
      state->events.on_data(data);
    }
  }

  static void OnDone(evhttp_request* raw, void* argument) {
    auto* state = static_cast<call_state*>(argument);
    http_result result;
    result.may_have_been_sent = state->link->sent;
    result.request_undelivered = state->link->request_undelivered;
    if (raw == nullptr || evhttp_request_get_response_code(raw) == 0) {
      result.outcome = state->failure;
      if (state->failure == http_outcome::kConnectFailed && state->link->sent) {
        result.outcome = http_outcome::kBroken;
      }
      if (state->malformed) {
        result.outcome = http_outcome::kMalformed;
      }
    } else {
      result.outcome = http_outcome::kComplete;
      result.response.status = evhttp_request_get_response_code(raw);
      result.response.headers = ReadHeaders(raw);
      evbuffer* input = evhttp_request_get_input_buffer(raw);
      result.response.body.resize(evbuffer_get_length(input));
      evbuffer_copyout(input, result.response.body.data(),
                       result.response.body.size());
    }
    state->client->Finish(state->id, std::move(result));
  }

  void Finish(uint64_t id, http_result result) {
    const auto found = live_.find(id);
    const std::unique_ptr<call_state> owned = std::move(found->second);
    live_.erase(found);
    result.response_begun = owned->response_begun;
    if (result.outcome == http_outcome::kComplete) {
      owned->link->SetResetOnClose(false);
    }
    const bool keep =
        result.outcome == http_outcome::kComplete && owned->reuse &&
        (owned->may_keep == nullptr || owned->may_keep(result.response));
    if (keep) {
      KeepIdle(std::move(owned->link));
    } else {
      FreeLater(std::move(owned->link));
    }
    if (result.outcome != http_outcome::kComplete) {
      FreeIdleLater(owned->peer);
    }
    if (!owned->cancelled && owned->events.on_done) {
      owned->events.on_done(std::move(result));
    }
  }

  void KeepIdle(connection_ptr link) {
    std::vector<connection_ptr>& kept = idle_[link->peer];
    if (kept.size() >= kMaxIdlePerPeer) {
      FreeLater(std::move(link));
      return;
    }
    link->idle_since = SteadyNow();
    kept.push_back(std::move(link));
  }

  // evhttp still uses a connection while it runs the callbacks of its request.
  void FreeLater(connection_ptr link) {
    loop_.Defer([owned = std::shared_ptr<connection>(std::move(link))] {});
  }

  void FreeIdleLater(const endpoint& peer) {
    const auto found = idle_.find(peer);
    if (found == idle_.end()) {
      return;
    }
    for (connection_ptr& link : found->second) {
      FreeLater(std::move(link));
    }
    idle_.erase(found);
  }

  void DropOld(time_point now) {
    for (auto& [peer, kept] : idle_) {
      std::erase_if(kept, [&](const connection_ptr& link) {
        return now - link->idle_since > kMaxIdleAge;
      });
    }
    std::erase_if(idle_,
                  [](const auto& entry) { return entry.second.empty(); });
  }

  event_loop& loop_;
  std::map<endpoint, std::vector<connection_ptr>> idle_;
  std::unordered_map<uint64_t, std::unique_ptr<call_state>> live_;
  uint64_t next_id_ = 1;
  event_loop::handle_ptr sweep_;
};

namespace {

class cancelling_call final : public http_call {
 public:
  explicit cancelling_call(std::function<void()> cancel)
      : cancel_(std::move(cancel)) {}
  ~cancelling_call() override { cancel_(); }
  cancelling_call(const cancelling_call&) = delete;
  cancelling_call& operator=(const cancelling_call&) = delete;

 private:
  std::function<void()> cancel_;
};

}  // namespace

http_client::http_client(event_loop& loop)
    : impl_(std::make_shared<impl>(loop)) {}

http_client::~http_client() = default;

http_call_ptr http_client::Send(const endpoint& peer,
                                const http_request& request,
                                const http_call_options& options,
                                http_call_events events) {
  const uint64_t id = impl_->Send(peer, request, options, std::move(events));
  const std::weak_ptr<impl> weak = impl_;
  return std::make_unique<cancelling_call>([weak, id] {
    if (const auto client = weak.lock()) {
      client->Cancel(id);
    }
  });
}

void http_client::DropIdle(const endpoint& peer) { impl_->DropIdle(peer); }

event_loop& http_client::loop() const { return impl_->loop(); }

}  // namespace skylarkcroft

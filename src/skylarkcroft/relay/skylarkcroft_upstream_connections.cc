#include "skylarkcroft/relay/skylarkcroft_upstream_connections.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {
namespace {

constexpr size_t kMaxResponseHeadBytes = 65536;
constexpr int kMillisPerSecond = 1000;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
// Bytes of responses to earlier requests that are skipped before a response:
// more than the late copy of a response or two.
constexpr size_t kMaxSkippedBytes = 8388608;
// Upper limit for keeping an idle connection, whatever the upstream announces.
constexpr milliseconds kMaxIdleTime{8000};

// Value of `timeout=N` in a Keep-Alive header, in seconds.
std::optional<int> KeepAliveSeconds(std::string_view value) {
  constexpr std::string_view kName = "timeout=";
  const size_t at = value.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = value.substr(at + kName.size());
  int seconds = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return seconds;
}

}  // namespace

// A connection to an upstream; it is used by one exchange or idle.
class upstream_connections::connection
    : public std::enable_shared_from_this<connection> {
 public:
  struct handlers {
    std::function<size_t(std::string_view)> on_bytes;
    std::function<void()> on_connected;
    std::function<void(bool)> on_closed;
  };

  connection(event_loop& loop, std::string id, const endpoint& address,
             const connection_parameters& parameters, time_point now)
      : upstream_id(std::move(id)),
        opened_at(now),
        idle_limit(parameters.default_idle_limit),
        socket_(loop, address, parameters.unacknowledged_limit,
                {[this](std::string_view bytes) { return OnBytes(bytes); },
                 [this] { OnConnected(); },
                 [this](bool clean) { OnClosed(clean); }}) {}

  void SetHandlers(handlers new_handlers) {
    handlers_ = std::move(new_handlers);
  }
  void ClearHandlers() { handlers_.reset(); }
  stream_socket& socket() { return socket_; }
  [[nodiscard]] bool usable() const { return connected && !closed; }

  std::string upstream_id;
  time_point opened_at;
  time_point idle_since{};
  milliseconds idle_limit;
  std::string last_request;  ///< Id of the last request sent.
  bool used = false;         ///< A request was sent on it.
  bool connected = false;
  bool closed = false;

 private:
  // A handler may drop the last other reference to the connection, so `self`
  // keeps it alive during the call.
  size_t OnBytes(std::string_view bytes) {
    const std::shared_ptr<connection> self = shared_from_this();
    if (!handlers_.has_value()) {
      // No request is in flight, so these bytes belong to no response: the
      // connection cannot be reused.
      closed = true;
      return bytes.size();
    }
    const auto call = handlers_->on_bytes;
    return call(bytes);
  }
  void OnConnected() {
    const std::shared_ptr<connection> self = shared_from_this();
    connected = true;
    if (handlers_.has_value()) {
      const auto call = handlers_->on_connected;
      call();
    }
  }
  void OnClosed(bool clean) {
    const std::shared_ptr<connection> self = shared_from_this();
    closed = true;
    if (handlers_.has_value()) {
      const auto call = handlers_->on_closed;
      call(clean);
    }
  }

  std::optional<handlers> handlers_;
  stream_socket socket_;
};

class upstream_connections::exchange final
    : public upstream_exchange,
      public std::enable_shared_from_this<exchange> {
 public:
  exchange(upstream_connections& owner, exchange_request request,
           exchange_events events)
      : owner_(owner),
        request_(std::move(request)),
        events_(std::move(events)),
        reader_(message_kind::kResponse, kMaxResponseHeadBytes,
                {[this](const message_head& head) { OnHead(head); },
                 [this](std::string_view bytes) { OnBody(bytes); }}) {
    reader_.Reset(request_.head_only);
  }
  ~exchange() override { CloseConnection(); }
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  void Attach(connection_ptr attached) {
    connection_ = std::move(attached);
    connection_->SetHandlers(
        {[this](std::string_view bytes) { return OnBytes(bytes); },
         [this] { Send(); }, [this](bool clean) { OnClosed(clean); }});
    if (connection_->connected) {
      Send();
    }
  }

  [[nodiscard]] bool sent() const override { return sent_; }
  [[nodiscard]] bool on_kept_connection() const override { return kept_; }
  void SetReading(bool reading) override {
    if (connection_ != nullptr) {
      connection_->socket().SetReading(reading);
    }
  }
  void Cancel() override {
    ended_ = true;
    if (connection_ != nullptr && sent_) {
      connection_->socket().ResetOnClose();
    }
    CloseConnection();
  }
  [[nodiscard]] bool IsConnectOverdue(time_point now,
                                      milliseconds limit) const {
    return connection_ != nullptr && !sent_ &&
           now - connection_->opened_at > limit;
  }
  void FailConnecting() {
    if (!ended_) {
      End(exchange_result::kNoConnection);
    }
  }

 private:
  void CloseConnection() {
    if (connection_ != nullptr) {
      connection_->ClearHandlers();
      // Destroying the last reference closes the connection. It may be the
      // caller of this function, so destroy it after the call has returned.
      owner_.loop_.Defer([dropped = std::move(connection_)] {});
      connection_ = nullptr;
    }
  }

  void Send() {
    sent_ = true;
    kept_ = std::exchange(connection_->used, true);
    connection_->last_request = request_.id;
    const connection_parameters& limits = owner_.parameters_;
    const size_t body_bytes =
        request_.body == nullptr ? 0 : request_.body->size();
    const bool may_wait_unread =
        request_.head.size() + body_bytes > limits.max_buffered_request;
    connection_->socket().SetAckTimeout(
        may_wait_unread ? limits.unread_limit : limits.unacknowledged_limit);
    connection_->socket().Write(request_.head);
    if (body_bytes > 0) {
      connection_->socket().WriteShared(request_.body);
    }
    request_.head = {};
    request_.body = nullptr;
  }

  void OnHead(const message_head& head) {
    if (ended_) {
      return;
    }
    const std::string id = head.headers.Get(request_.id_header);
    for_other_request_ =
        !id.empty() && !request_.id.empty() && id != request_.id;
    keep_alive_ = head.keep_alive;
    is_success_ = head.status >= kFirstSuccess && head.status < kFirstRedirect;
    const std::optional<int> seconds =
        KeepAliveSeconds(head.headers.Get("Keep-Alive"));
    if (connection_ != nullptr && seconds.has_value()) {
      connection_->idle_limit = milliseconds(static_cast<milliseconds::rep>(
          owner_.parameters_.announced_idle_share * kMillisPerSecond *
          *seconds));
    }
    if (!for_other_request_) {
      events_.on_head(head);
    }
  }

  void OnBody(std::string_view bytes) {
    if (!for_other_request_ && !ended_) {
      events_.on_body(bytes);
    }
  }

  size_t OnBytes(std::string_view bytes) {
    const std::shared_ptr<exchange> self = shared_from_this();
    if (ended_) {
      return bytes.size();
    }
    const read_progress progress = reader_.Feed(bytes);
    if (ended_) {
      return bytes.size();
    }
    skipped_bytes_ += for_other_request_ ? progress.consumed : 0;
    if (skipped_bytes_ > kMaxSkippedBytes) {
      End(exchange_result::kMalformed);
      return bytes.size();
    }
    switch (progress.state) {
      case read_state::kMore:
        return bytes.size();
      case read_state::kEnded:
        if (for_other_request_) {
          // A response to an earlier request on this connection: skip it.
          reader_.Reset(request_.head_only);
          return progress.consumed;
        }
        Complete(progress.consumed == bytes.size());
        return bytes.size();
      case read_state::kMalformed:
      case read_state::kTooLarge:
        End(exchange_result::kMalformed);
        return bytes.size();
    }
    return bytes.size();
  }

  void OnClosed(bool clean) {
    const std::shared_ptr<exchange> self = shared_from_this();
    if (ended_) {
      return;
    }
    if (!sent_) {
      End(exchange_result::kNoConnection);
      return;
    }
    // A response without a length is complete when its connection is closed,
    // but not when it is reset.
    const bool complete = clean && reader_.started() && !for_other_request_ &&
                          !IsEarlySuccess() &&
                          reader_.FeedEof() == read_state::kEnded;
    if (!ended_) {
      End(complete ? exchange_result::kComplete : exchange_result::kBroken);
    }
  }

  // A request may be refused before the upstream has it whole, but not be
  // carried out.
  [[nodiscard]] bool IsEarlySuccess() const {
    return is_success_ && connection_->socket().undelivered() > 0;
  }

  void Complete(bool all_bytes_consumed) {
    const bool reusable = all_bytes_consumed && keep_alive_ &&
                          connection_->usable() &&
                          connection_->socket().unsent() == 0;
    if (reusable) {
      connection_->ClearHandlers();
      owner_.KeepIdle(std::exchange(connection_, nullptr));
    }
    End(exchange_result::kComplete);
  }

  void End(exchange_result result) {
    ended_ = true;
    CloseConnection();
    const auto call = events_.on_end;
    call(result);
  }

  upstream_connections& owner_;
  exchange_request request_;
  exchange_events events_;
  message_reader reader_;
  connection_ptr connection_;
  bool sent_ = false;
  bool kept_ = false;
  bool ended_ = false;
  bool for_other_request_ = false;
  size_t skipped_bytes_ = 0;
  bool keep_alive_ = true;
  bool is_success_ = false;
};

upstream_connections::upstream_connections(
    event_loop& loop, const connection_parameters& parameters, clock_fn clock,
    std::function<void()> on_opened)
    : loop_(loop),
      parameters_(parameters),
      clock_(std::move(clock)),
      on_opened_(std::move(on_opened)) {}

upstream_connections::~upstream_connections() = default;

exchange_ptr upstream_connections::Start(exchange_request request,
                                         exchange_events events) {
  const std::string upstream_id = request.upstream_id;
  const std::string request_id = request.id;
  const endpoint address = request.address;
  auto started =
      std::make_shared<exchange>(*this, std::move(request), std::move(events));
  std::list<connection_ptr>& idle = idle_[upstream_id];
  while (!idle.empty()) {
    const connection_ptr newest = idle.back();
    idle.pop_back();
    const bool fresh = clock_() - newest->idle_since < newest->idle_limit;
    // A late copy of the response to the same request, sent there before,
    // could not be told from the response to this one.
    const bool same_request = newest->last_request == request_id;
    if (newest->usable() && fresh && !same_request &&
        !newest->socket().HasUnread()) {
      started->Attach(newest);
      return started;
    }
  }
  on_opened_();
  connecting_[started.get()] = started;
  try {
    started->Attach(std::make_shared<connection>(loop_, upstream_id, address,
                                                 parameters_, clock_()));
  } catch (const network_error&) {
    // No file descriptor is free: reported like any other failure to connect.
    loop_.Defer([started] { started->FailConnecting(); });
  }
  return started;
}

void upstream_connections::OpenIdle(
    const std::string& upstream_id, const endpoint& address,
    std::function<void(connect_outcome)> on_result) {
  OpenWatched(upstream_id, address, milliseconds(0), std::move(on_result));
}

void upstream_connections::OpenWatched(
    const std::string& upstream_id, const endpoint& address,
    milliseconds min_open_time,
    std::function<void(connect_outcome)> on_result) {
  on_opened_();
  connection_ptr opened;
  try {
    opened = std::make_shared<connection>(loop_, upstream_id, address,
                                          parameters_, clock_());
  } catch (const network_error&) {
    loop_.Defer(
        [call = std::move(on_result)] { call(connect_outcome::kUnknown); });
    return;
  }
  const connection* key = opened.get();
  opened->SetHandlers({[](std::string_view bytes) { return bytes.size(); },
                       [this, key] { OnOpened(key); },
                       [this, key](bool) { OnOpeningClosed(key); }});
  opening_.push_back(
      {std::move(opened), min_open_time, std::move(on_result), nullptr});
}

void upstream_connections::OnOpened(const connection* opened) {
  opening_connection& one = *FindOpening(opened);
  if (one.min_open_time.count() == 0) {
    EndOpening(opened, connect_outcome::kAccepted);
    return;
  }
  one.open_timer = loop_.After(one.min_open_time, [this, opened] {
    EndOpening(opened, connect_outcome::kAccepted);
  });
}

void upstream_connections::OnOpeningClosed(const connection* opened) {
  const bool was_established =
      FindOpening(opened)->opened->socket().was_established();
  EndOpening(opened, was_established ? connect_outcome::kDropped
                                     : connect_outcome::kRefused);
}

std::list<upstream_connections::opening_connection>::iterator
upstream_connections::FindOpening(const connection* opened) {
  return std::find_if(opening_.begin(), opening_.end(),
                      [&](const opening_connection& one) {
                        return one.opened.get() == opened;
                      });
}

void upstream_connections::EndOpening(const connection* opened,
                                      connect_outcome outcome) {
  const auto found = FindOpening(opened);
  const opening_connection ended = std::move(*found);
  opening_.erase(found);
  ended.opened->ClearHandlers();
  if (outcome == connect_outcome::kAccepted) {
    KeepIdle(ended.opened);
  }
  // The connection may be the caller: destroy it after the call has returned.
  loop_.Defer([dropped = ended.opened] {});
  ended.on_result(outcome);
}

void upstream_connections::KeepIdle(const connection_ptr& kept) {
  kept->idle_since = clock_();
  kept->idle_limit = std::min(kept->idle_limit, kMaxIdleTime);
  std::list<connection_ptr>& idle = idle_[kept->upstream_id];
  if (idle.size() < parameters_.max_idle_per_upstream) {
    idle.push_back(kept);
  }
}

void upstream_connections::CloseExpired(time_point now) {
  std::vector<std::shared_ptr<exchange>> overdue;
  std::erase_if(connecting_, [&](const auto& entry) {
    const std::shared_ptr<exchange> pending = entry.second.lock();
    if (pending == nullptr || pending->sent()) {
      return true;
    }
    if (pending->IsConnectOverdue(now, parameters_.connect_timeout)) {
      overdue.push_back(pending);
      return true;
    }
    return false;
  });
  for (const std::shared_ptr<exchange>& late : overdue) {
    late->FailConnecting();
  }
  std::vector<const connection*> unanswered;
  for (const opening_connection& one : opening_) {
    const bool overdue =
        now - one.opened->opened_at > parameters_.connect_timeout;
    if (overdue && !one.opened->connected) {
      unanswered.push_back(one.opened.get());
    }
  }
  for (const connection* late : unanswered) {
    EndOpening(late, connect_outcome::kUnknown);
  }
  for (auto& [id, idle] : idle_) {
    std::erase_if(idle, [&](const connection_ptr& kept) {
      return kept->closed || now - kept->idle_since >= kept->idle_limit;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

void upstream_connections::CloseIdleTo(const std::string& upstream_id) {
  idle_.erase(upstream_id);
}

}  // namespace skylarkcroft

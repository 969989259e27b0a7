#include "skylarkcroft/relay/skylarkcroft_upstream_links.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft {
namespace {

constexpr size_t kMaxAnswerHeadBytes = 65536;
constexpr int kMillisPerSecond = 1000;
// Idle connections live no longer than this, whatever is announced.
constexpr milliseconds kLongestIdle{8000};

// Seconds of `timeout=N` in a Keep-Alive header.
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

// A connection; it belongs to one exchange or is idle.
class upstream_links::link : public std::enable_shared_from_this<link> {
 public:
  struct user {
    std::function<size_t(std::string_view)> on_bytes;
    std::function<void()> on_connected;
    std::function<void(bool)> on_closed;
  };

  link(event_loop& loop, const exchange_request& request,
       const link_terms& terms, time_point now)
      : upstream_id(request.upstream_id),
        opened_at(now),
        idle_limit(terms.idle_without_word),
        socket_(loop, request.address, terms.silence_limit,
                {[this](std::string_view bytes) { return OnBytes(bytes); },
                 [this] { OnConnected(); },
                 [this](bool clean) { OnClosed(clean); }}) {}

  void SetUser(user taken) { user_ = std::move(taken); }
  void ClearUser() { user_.reset(); }
  stream_socket& socket() { return socket_; }
  [[nodiscard]] bool usable() const { return connected && !closed; }

  std::string upstream_id;
  time_point opened_at;
  time_point idle_since{};
  milliseconds idle_limit;
  bool connected = false;
  bool closed = false;

 private:
  // The user may drop the link inside its callbacks.
  size_t OnBytes(std::string_view bytes) {
    const std::shared_ptr<link> self = shared_from_this();
    if (!user_.has_value()) {
      // Nothing was asked, so these bytes answer nothing.
      closed = true;
      return bytes.size();
    }
    const auto call = user_->on_bytes;
    return call(bytes);
  }
  void OnConnected() {
    const std::shared_ptr<link> self = shared_from_this();
    connected = true;
    if (user_.has_value()) {
      const auto call = user_->on_connected;
      call();
    }
  }
  void OnClosed(bool clean) {
    const std::shared_ptr<link> self = shared_from_this();
    closed = true;
    if (user_.has_value()) {
      const auto call = user_->on_closed;
      call(clean);
    }
  }

  std::optional<user> user_;
  stream_socket socket_;
};

class upstream_links::exchange final
    : public upstream_exchange,
      public std::enable_shared_from_this<exchange> {
 public:
  exchange(upstream_links& owner, exchange_request request,
           exchange_events events)
      : owner_(owner),
        request_(std::move(request)),
        events_(std::move(events)),
        reader_(message_kind::kResponse, kMaxAnswerHeadBytes,
                {[this](const message_head& head) { OnHead(head); },
                 [this](std::string_view bytes) { OnBody(bytes); }}) {
    reader_.Reset(request_.head_only);
  }
  ~exchange() override { Drop(); }
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  void Use(link_ptr taken) {
    link_ = std::move(taken);
    link_->SetUser({[this](std::string_view bytes) { return OnBytes(bytes); },
                    [this] { Send(); },
                    [this](bool clean) { OnClosed(clean); }});
    if (link_->connected) {
      Send();
    }
  }

  [[nodiscard]] bool sent() const override { return sent_; }
  void SetReading(bool reading) override {
    if (link_ != nullptr) {
      link_->socket().SetReading(reading);
    }
  }
  void Cancel() override {
    ended_ = true;
    Drop();
  }
  [[nodiscard]] bool IsOverdue(time_point now, milliseconds limit) const {
    return link_ != nullptr && !sent_ && now - link_->opened_at > limit;
  }
  void GiveUpConnecting() {
    if (!ended_) {
      End(exchange_end::kNoConnection);
    }
  }

 private:
  void Drop() {
    if (link_ != nullptr) {
      link_->ClearUser();
      // Destroying the last reference closes the connection; the link may be
      // the caller of this function.
      owner_.loop_.Defer([dropped = std::move(link_)] {});
      link_ = nullptr;
    }
  }

  void Send() {
    sent_ = true;
    link_->socket().Write(request_.bytes);
  }

  void OnHead(const message_head& head) {
    if (ended_) {
      return;
    }
    const std::string id = head.headers.Get(request_.id_header);
    foreign_ = !id.empty() && !request_.id.empty() && id != request_.id;
    keep_alive_ = head.keep_alive;
    const std::optional<int> seconds =
        KeepAliveSeconds(head.headers.Get("Keep-Alive"));
    if (link_ != nullptr && seconds.has_value()) {
      link_->idle_limit = milliseconds(static_cast<milliseconds::rep>(
          owner_.terms_.idle_share * kMillisPerSecond * *seconds));
    }
    if (!foreign_) {
      events_.on_head(head);
    }
  }

  void OnBody(std::string_view bytes) {
    if (!foreign_ && !ended_) {
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
    switch (progress.state) {
      case read_state::kMore:
        return bytes.size();
      case read_state::kEnded:
        if (foreign_) {
          // An answer to an earlier request of the connection.
          reader_.Reset(request_.head_only);
          return progress.consumed;
        }
        Complete(progress.consumed == bytes.size());
        return bytes.size();
      case read_state::kMalformed:
      case read_state::kTooLarge:
        End(exchange_end::kMalformed);
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
      End(exchange_end::kNoConnection);
      return;
    }
    // An answer without a length ends with its connection, unless it is reset.
    const bool whole = clean && reader_.started() && !foreign_ &&
                       reader_.FeedEnd() == read_state::kEnded;
    if (!ended_) {
      End(whole ? exchange_end::kComplete : exchange_end::kBroken);
    }
  }

  void Complete(bool nothing_left) {
    const bool reusable = nothing_left && keep_alive_ && link_->usable() &&
                          link_->socket().unsent() == 0;
    if (reusable) {
      link_->ClearUser();
      owner_.Keep(std::exchange(link_, nullptr));
    }
    End(exchange_end::kComplete);
  }

  void End(exchange_end how) {
    ended_ = true;
    Drop();
    const auto call = events_.on_end;
    call(how);
  }

  upstream_links& owner_;
  exchange_request request_;
  exchange_events events_;
  message_reader reader_;
  link_ptr link_;
  bool sent_ = false;
  bool ended_ = false;
  bool foreign_ = false;
  bool keep_alive_ = true;
};

upstream_links::upstream_links(event_loop& loop, const link_terms& terms,
                               clock_fn clock, std::function<void()> on_opened)
    : loop_(loop),
      terms_(terms),
      clock_(std::move(clock)),
      on_opened_(std::move(on_opened)) {}

upstream_links::~upstream_links() = default;

exchange_ptr upstream_links::Start(const exchange_request& request,
                                   exchange_events events) {
  auto started = std::make_shared<exchange>(*this, request, std::move(events));
  std::list<link_ptr>& idle = idle_[request.upstream_id];
  while (!idle.empty()) {
    const link_ptr newest = idle.back();
    idle.pop_back();
    const bool fresh = clock_() - newest->idle_since < newest->idle_limit;
    if (newest->usable() && fresh && newest->socket().unread() == 0) {
      started->Use(newest);
      return started;
    }
  }
  on_opened_();
  connecting_[started.get()] = started;
  try {
    started->Use(std::make_shared<link>(loop_, request, terms_, clock_()));
  } catch (const network_error&) {
    // Out of descriptors: the request hears of it as of any other failure.
    loop_.Defer([started] { started->GiveUpConnecting(); });
  }
  return started;
}

void upstream_links::Keep(const link_ptr& one) {
  one->idle_since = clock_();
  one->idle_limit = std::min(one->idle_limit, kLongestIdle);
  std::list<link_ptr>& idle = idle_[one->upstream_id];
  if (idle.size() < terms_.max_idle_per_upstream) {
    idle.push_back(one);
  }
}

void upstream_links::Sweep(time_point now) {
  std::vector<std::shared_ptr<exchange>> overdue;
  std::erase_if(connecting_, [&](const auto& entry) {
    const std::shared_ptr<exchange> one = entry.second.lock();
    if (one == nullptr || one->sent()) {
      return true;
    }
    if (one->IsOverdue(now, terms_.connect_timeout)) {
      overdue.push_back(one);
      return true;
    }
    return false;
  });
  for (const std::shared_ptr<exchange>& one : overdue) {
    one->GiveUpConnecting();
  }
  for (auto& [id, idle] : idle_) {
    std::erase_if(idle, [&](const link_ptr& one) {
      return one->closed || now - one->idle_since >= one->idle_limit;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

void upstream_links::DropIdle(const std::string& upstream_id) {
  idle_.erase(upstream_id);
}

}  // namespace skylarkcroft

#include "tests/relay_soak/soak_client.h"

#include <array>
#include <utility>

#include "tests/relay_soak/soak_upstream.h"

namespace skylarkcroft::soak {
namespace {

constexpr size_t kHeadBytes = 16384;
constexpr milliseconds kDeadline{3000};
constexpr milliseconds kConnectLimit{5000};
constexpr int kMostOnConnection = 12;
constexpr int kLongestPauseMs = 60;

struct kind_path {
  request_kind kind;
  const char* path;
};
constexpr std::array<kind_path, 4> kKinds = {
    {{request_kind::kSafe, "/safe/"},
     {request_kind::kOnce, "/once/"},
     {request_kind::kResumable, "/resume/"},
     {request_kind::kStream, "/stream/"}}};

}  // namespace

soak_client::soak_client(event_loop& loop, history& seen,
                         const std::string& name, uint32_t seed,
                         std::function<client_target()> choose)
    : loop_(loop),
      seen_(seen),
      name_(name),
      random_(seed),
      choose_(std::move(choose)) {}

soak_client::~soak_client() = default;

void soak_client::Start() { Next(); }

void soak_client::Next() {
  if (stopped_) {
    return;
  }
  timer_ = loop_.After(milliseconds(random_() % kLongestPauseMs),
                       [this] { Send(); });
}

void soak_client::Disconnect() {
  // May be called by the socket itself.
  if (socket_ != nullptr) {
    loop_.Defer(
        [dropped = std::shared_ptr<stream_socket>(std::move(socket_))] {});
  }
  on_connection_ = 0;
}

void soak_client::Send() {
  if (stopped_) {
    return;
  }
  if (socket_ == nullptr) {
    target_ = choose_();
    keep_alive_ = true;
    socket_ = std::make_unique<stream_socket>(
        loop_, target_.address, kConnectLimit,
        socket_events{[this](std::string_view bytes) { return OnBytes(bytes); },
                      [] {}, [this](bool clean) { OnClosed(clean); }});
  }
  reader_ = std::make_unique<message_reader>(
      message_kind::kResponse, kHeadBytes,
      message_events{[this](const message_head& head) {
                       Present().status = head.status;
                       keep_alive_ = head.keep_alive;
                     },
                     [this](std::string_view bytes) { body_.append(bytes); }});
  body_.clear();
  const kind_path& kind = kKinds[random_() % kKinds.size()];
  request_ = name_ + "-" + std::to_string(++sent_);
  request_seen made;
  made.kind = kind.kind;
  made.node = target_.node;
  made.key = target_.key;
  made.sent_at = SteadyNow();
  made.kept_open = on_connection_++ > 0;
  seen_.requests[request_] = made;
  socket_->Write(
      "POST " + std::string(kind.path) +
      "x HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: " + request_ +
      "\r\nX-Key: " + target_.key + "\r\nX-Remaining-Milliseconds: " +
      std::to_string(kDeadline.count()) + "\r\nContent-Length: 2\r\n\r\nhi");
  deadline_ = loop_.After(kDeadline, [this] { OnDeadline(); });
}

size_t soak_client::OnBytes(std::string_view bytes) {
  if (request_.empty()) {
    return bytes.size();
  }
  const read_progress progress = reader_->Feed(bytes);
  if (progress.state == read_state::kEnded) {
    End(true);
  } else if (progress.state != read_state::kMore) {
    End(false);
    Disconnect();
  }
  return bytes.size();
}

void soak_client::OnClosed(bool /*clean*/) {
  Disconnect();
  if (!request_.empty()) {
    End(false);
  }
}

void soak_client::OnDeadline() {
  if (request_.empty()) {
    return;
  }
  Present().gave_up = true;
  Disconnect();
  End(false);
}

void soak_client::End(bool whole) {
  request_seen& ended = Present();
  ended.ended_at = SteadyNow();
  ended.whole = whole;
  ended.matches = body_ == ExpectedBody(ended.kind, request_);
  request_.clear();
  deadline_.reset();
  if (!keep_alive_ || on_connection_ >= kMostOnConnection) {
    Disconnect();
  }
  Next();
}

}  // namespace skylarkcroft::soak

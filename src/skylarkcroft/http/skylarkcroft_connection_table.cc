#include "skylarkcroft/http/skylarkcroft_connection_table.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "skylarkcroft/http/skylarkcroft_problem.h"
#include "skylarkcroft/internal/skylarkcroft_socket_state.h"

namespace skylarkcroft {
namespace {

/// Bytes of requests sent ahead that are held while an answer is under way.
constexpr size_t kMaxPipelinedBytes = 64 * 1024;

/// Sweeps for which an overdue request of which bytes lie unread may go on.
constexpr int kMaxLateSweeps = 4;

std::string TimeoutAnswer() {
  constexpr int kRequestTimeout = 408;
  problem failure = MakeProblem(refusal_reason::kBadRequest, run_state::kNotRun,
                                "the request took too long to arrive", "");
  failure.status = kRequestTimeout;
  const http_response response = ToResponse(failure);
  std::string text = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n";
  for (const header_view field : response.headers.fields()) {
    text.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  return text + "Content-Length: " + std::to_string(response.body.size()) +
         "\r\n\r\n" + response.body;
}

}  // namespace

// Holds a reference to the stream, so that neither its address nor its
// descriptor is used again before the connection is forgotten. evhttp shuts the
// socket down when it frees the stream, and bufferevent_free removes the
// callbacks.
class connection_table::connection {
 public:
  connection(bufferevent* stream, uint64_t number, clock_fn clock)
      : stream_(stream),
        number_(number),
        clock_(std::move(clock)),
        last_input_(clock_()) {
    bufferevent_incref(stream_);
    evbuffer_add_cb(bufferevent_get_input(stream_), &connection::OnInput, this);
  }
  ~connection() {
    evbuffer_remove_cb(bufferevent_get_input(stream_), &connection::OnInput,
                       this);
    bufferevent_decref(stream_);
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  [[nodiscard]] uint64_t number() const { return number_; }

  [[nodiscard]] bool Freed() const {
    bufferevent_event_cb on_event = nullptr;
    bufferevent_getcb(stream_, nullptr, nullptr, &on_event, nullptr);
    return on_event == nullptr;
  }

  // A large request takes several passes of the loop, so its rest may lie
  // unread after the loop stood still.
  [[nodiscard]] bool Overdue(time_point now, milliseconds limit) {
    if (!receiving_since_.has_value() || now - *receiving_since_ <= limit) {
      late_sweeps_ = 0;
      return false;
    }
    return ++late_sweeps_ > kMaxLateSweeps ||
           !HasUnreadBytes(bufferevent_getfd(stream_));
  }

  [[nodiscard]] bool HasBytesWaiting() const {
    return evbuffer_get_length(bufferevent_get_output(stream_)) > 0 ||
           HasUnreadBytes(bufferevent_getfd(stream_));
  }

  // Bytes that arrived while the loop stood still are no silence, nor is the
  // time in which the peer takes an answer.
  [[nodiscard]] bool Silent(time_point now, milliseconds limit) {
    if (evbuffer_get_length(bufferevent_get_output(stream_)) > 0) {
      last_input_ = now;
    }
    return !answering_ && now - last_input_ > limit &&
           !HasUnreadBytes(bufferevent_getfd(stream_));
  }

  [[nodiscard]] bool answering() const { return answering_; }
  [[nodiscard]] bool ended() const { return ended_; }
  [[nodiscard]] time_point last_input() const { return last_input_; }
  void EndSocket() {
    ended_ = true;
    shutdown(bufferevent_getfd(stream_), SHUT_RDWR);
  }

  void HoldAtMost(size_t bytes) {
    bufferevent_setwatermark(stream_, EV_READ, 0, bytes);
  }

  // evhttp stops reading while a request is handled, and would not learn that
  // the peer has gone. It does not expect to be called for input then.
  void OnlyDetectClose() {
    answering_ = true;
    receiving_since_.reset();
    HoldAtMost(kMaxPipelinedBytes);
    bufferevent_data_cb on_write = nullptr;
    bufferevent_event_cb on_event = nullptr;
    void* argument = nullptr;
    bufferevent_getcb(stream_, nullptr, &on_write, &on_event, &argument);
    bufferevent_setcb(stream_, nullptr, on_write, on_event, argument);
    bufferevent_enable(stream_, EV_READ);
  }

  void ReceiveNext(size_t max_request_bytes, time_point now) {
    answering_ = false;
    last_input_ = now;
    HoldAtMost(max_request_bytes);
    if (evbuffer_get_length(bufferevent_get_input(stream_)) > 0) {
      receiving_since_ = now;
    }
  }

  // Ends the socket; evhttp then sees the end of input and frees all of it.
  void Close() {
    receiving_since_.reset();
    const int fd = bufferevent_getfd(stream_);
    if (evbuffer_get_length(bufferevent_get_output(stream_)) == 0) {
      const std::string answer = TimeoutAnswer();
      send(fd, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    shutdown(fd, SHUT_RDWR);
  }

 private:
  static void OnInput(evbuffer* /*input*/, const evbuffer_cb_info* change,
                      void* self) {
    auto* link = static_cast<connection*>(self);
    if (change->n_added > 0) {
      link->last_input_ = link->clock_();
    }
    if (change->n_added == 0 || link->answering_ ||
        link->receiving_since_.has_value()) {
      return;
    }
    link->receiving_since_ = link->clock_();
  }

  bufferevent* stream_;
  uint64_t number_;
  clock_fn clock_;
  time_point last_input_;
  bool answering_ = false;
  bool ended_ = false;  ///< Its socket was ended here.
  std::optional<time_point> receiving_since_;
  int late_sweeps_ = 0;
};

connection_table::connection_table(const connection_limits& limits,
                                   clock_fn clock)
    : limits_(limits), clock_(std::move(clock)) {}

connection_table::~connection_table() = default;

void connection_table::EndMostSilent() {
  if (limits_.max_connections == 0 || open_.size() < limits_.max_connections) {
    return;
  }
  DropFreed();
  if (open_.size() < limits_.max_connections) {
    return;
  }
  connection* most_silent = nullptr;
  for (const auto& [stream, open] : open_) {
    const bool may_end = !open->answering() && !open->ended();
    if (may_end && (most_silent == nullptr ||
                    open->last_input() < most_silent->last_input())) {
      most_silent = open.get();
    }
  }
  if (most_silent != nullptr) {
    most_silent->EndSocket();
  }
}

bufferevent* connection_table::Accept(event_base* base) {
  EndMostSilent();
  // The stream owns its descriptor, so that the number is not given out again
  // while this table still holds the stream.
  bufferevent* stream = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  auto opened = std::make_unique<connection>(stream, ++accepted_, clock_);
  opened->HoldAtMost(limits_.max_request_bytes);
  open_.emplace(stream, std::move(opened));
  return stream;
}

uint64_t connection_table::NumberOf(bufferevent* stream) const {
  const auto found = open_.find(stream);
  return found == open_.end() ? 0 : found->second->number();
}

void connection_table::OnRequest(bufferevent* stream) {
  const auto found = open_.find(stream);
  if (found != open_.end()) {
    found->second->OnlyDetectClose();
  }
}

void connection_table::OnAnswered(bufferevent* stream, time_point now) {
  const auto found = open_.find(stream);
  if (found != open_.end()) {
    found->second->ReceiveNext(limits_.max_request_bytes, now);
  }
}

void connection_table::DropFreed() {
  std::erase_if(open_, [](const auto& entry) { return entry.second->Freed(); });
}

void connection_table::Sweep(time_point now) {
  DropFreed();
  for (const auto& [stream, open] : open_) {
    if (open->Overdue(now, limits_.request_timeout)) {
      open->Close();
    } else if (open->Silent(now, limits_.silence_timeout)) {
      open->EndSocket();
    }
  }
}

bool connection_table::HasBytesWaiting() const {
  return std::any_of(open_.begin(), open_.end(), [](const auto& entry) {
    return !entry.second->Freed() && entry.second->HasBytesWaiting();
  });
}

void connection_table::Clear() { open_.clear(); }

}  // namespace skylarkcroft

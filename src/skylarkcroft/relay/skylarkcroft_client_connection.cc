#include "skylarkcroft/relay/skylarkcroft_client_connection.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/relay/skylarkcroft_request_forwarding.h"

namespace skylarkcroft {
namespace {

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderFieldsTooLarge = 431;
// A client whose request was rejected early may still be sending. Closing at
// once would reset the connection, and the client could lose the response.
constexpr milliseconds kLingerTimeout{1000};
// A longer answer is written without a copy of it.
constexpr size_t kMaxCopiedBytes = 4096;
// A body of unknown length that is larger than this gets room for the largest
// body at once: pages that are not written take no memory, and doubling would
// keep up to three times the body while it is copied.
constexpr size_t kGrownBodyBytes = 262144;
// Bound of what the system keeps unread for a client where the memory is
// bounded: enough for 200 Mbit/s at 2 ms there and back.
constexpr int kReceiveBufferBytes = 65536;
// What a connection takes beside its requests and buffers.
constexpr size_t kConnectionBytes = 4096;
// A time limit that has passed does not end a request while bytes of it lie
// unread: they came while the loop did not read. So many sweeps later it does,
// as the client then keeps sending.
constexpr int kMaxSweepsPastLimit = 25;

std::string_view ReasonPhrase(int status) {
  return http_status_str(static_cast<http_status>(status));
}

}  // namespace

client_connection::client_connection(relay_environment& environment, int fd,
                                     std::function<void()> on_closed)
    : environment_(environment),
      on_closed_(std::move(on_closed)),
      reader_(message_kind::kRequest, CurrentLimits().max_head_bytes,
              {[this](message_head&& head) { OnHead(std::move(head)); },
               [this](std::string_view bytes) { OnBody(bytes); }}),
      limits_(CurrentLimits()),
      idle_since_(environment.clock()),
      held_(*environment.memory),
      moved_at_(environment.clock()),
      socket_(environment.loop, fd,
              {[this](std::string_view bytes) { return OnBytes(bytes); }, [] {},
               [this](bool /*clean*/) { OnClosed(); }}) {
  if (environment.memory->is_bounded()) {
    socket_.SetReceiveBuffer(kReceiveBufferBytes);
  }
  UpdateHeld();
}

client_connection::~client_connection() = default;

client_limits client_connection::CurrentLimits() const {
  return LimitsInForce(environment_);
}

void client_connection::RestartLimits() {
  limits_.Restart(CurrentLimits());
  reader_.SetMaxHeadBytes(limits_.limits().max_head_bytes);
}

size_t client_connection::OnBytes(std::string_view bytes) {
  if (closing_) {
    return bytes.size();
  }
  if (request_ != nullptr) {
    // A pipelined request waits until the current response is finished.
    return 0;
  }
  if (!reader_.started()) {
    incoming_ = client_request{};
    incoming_.arrived_at = environment_.clock();
    sweeps_past_limit_ = 0;
    RestartLimits();
    head_received_ = false;
  }
  if (HoldsBackReading()) {
    return closing_ ? bytes.size() : 0;
  }
  moved_at_ = environment_.clock();
  const read_progress progress = reader_.Feed(bytes);
  UpdateHeld();
  if (closing_) {
    return bytes.size();
  }
  switch (progress.state) {
    case read_state::kMore:
      return bytes.size();
    case read_state::kEnded:
      OnRequest();
      return progress.consumed;
    case read_state::kMalformed:
      Reject(kBadRequest, "malformed_request");
      return bytes.size();
    case read_state::kTooLarge:
      Reject(kHeaderFieldsTooLarge, "head_too_large");
      return bytes.size();
  }
  return bytes.size();
}

void client_connection::OnHead(message_head&& received) {
  head_received_ = true;
  incoming_.head = std::move(received);
  const message_head& head = incoming_.head;
  ends_with_connection_ = head.is_http_1_0;
  keep_alive_ = head.keep_alive && !ends_with_connection_;
  const size_t body_bytes = head.content_length.value_or(0);
  if (body_bytes > limits_.limits().max_body_bytes) {
    Reject(kContentTooLarge, "body_too_large");
    return;
  }
  const memory_account& memory = *environment_.memory;
  const memory_pressure pressure = memory.pressure();
  if (pressure >= memory_pressure::kRefuse ||
      (pressure == memory_pressure::kPause &&
       body_bytes > memory.bounds().small_bytes)) {
    RefuseForMemory();
    return;
  }
  incoming_.body.reserve(body_bytes);
  if (EqualsIgnoringCase(head.headers.Get("Expect"), "100-continue")) {
    socket_.Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void client_connection::OnBody(std::string_view bytes) {
  if (closing_) {
    return;
  }
  const size_t limit = limits_.limits().max_body_bytes;
  const size_t size = incoming_.body.size() + bytes.size();
  if (size > limit) {
    Reject(kContentTooLarge, "body_too_large");
    return;
  }
  if (size > incoming_.body.capacity() && size > kGrownBodyBytes) {
    incoming_.body.reserve(limit);
  }
  incoming_.body.append(bytes);
}

void client_connection::OnRequest() {
  had_request_ = true;
  if (HasClientLeft()) {
    // After a pause of the loop, clients that gave up meanwhile have left their
    // requests in the sockets' buffers.
    request_record record;
    record.request_id =
        incoming_.head.headers.Get(environment_.names.request_id);
    record.reason = "client_gone";
    environment_.on_request_ended(record);
    End(client_end_reason::kClientGone);
    return;
  }
  response_finished_ = false;
  request_ = std::make_unique<relay_request>(
      environment_, std::exchange(incoming_, {}), *this);
  request_->Start();
}

void client_connection::OnClosed() {
  if (request_ != nullptr) {
    request_->OnClientDisconnected();
  }
  RequestDestruction();
}

void client_connection::RecordEnd(client_end_reason reason) {
  if (end_recorded_ || destruction_requested_) {
    return;
  }
  end_recorded_ = true;
  client_end end;
  end.reason = reason;
  end.request_in_flight = request_ != nullptr && !response_finished_;
  end.request_partly_read = IsPartlyRead();
  end.has_unread = socket_.HasUnread();
  end.unsent = socket_.unsent();
  end.had_request = had_request_;
  const std::optional<time_point> since = idle_since();
  if (since.has_value()) {
    end.idle =
        std::chrono::duration_cast<milliseconds>(environment_.clock() - *since);
  }
  end.idle_limit = limits_.limits().idle_timeout;
  environment_.on_client_ended(end);
}

void client_connection::End(client_end_reason reason) {
  RecordEnd(reason);
  RequestDestruction();
}

void client_connection::RequestDestruction() {
  if (destruction_requested_) {
    return;
  }
  destruction_requested_ = true;
  closing_ = true;
  if (unfinished_ && ends_with_connection_) {
    // An orderly end would say that the response is complete.
    socket_.ResetOnClose();
  }
  const std::weak_ptr<bool> alive = alive_;
  environment_.loop.Defer([this, alive] {
    if (!alive.expired()) {
      on_closed_();
    }
  });
}

void client_connection::Reject(int status, std::string_view reason) {
  keep_alive_ = false;
  Send(status, {{"Content-Type", "application/json"}},
       "{\"reason\":\"" + std::string(reason) + "\"}", std::nullopt);
  BeginClosing();
}

void client_connection::RefuseForMemory() {
  request_record record;
  record.request_id = incoming_.head.headers.Get(environment_.names.request_id);
  record.status = kUnavailable;
  record.reason = "memory_short";
  environment_.on_request_ended(record);
  http_headers headers = {
      {"Content-Type", "application/json"},
      {"Retry-After", FormatSeconds(environment_.parameters.other_node_retry)}};
  if (!record.request_id.empty()) {
    headers.Add(environment_.names.request_id, record.request_id);
  }
  incoming_ = {};
  keep_alive_ = false;
  Send(kUnavailable, headers, R"({"reason":"memory_short"})", std::nullopt);
  BeginClosing();
  ResumeReading();
}

bool client_connection::HoldsBackReading() {
  const memory_account& memory = *environment_.memory;
  switch (memory.pressure()) {
    case memory_pressure::kNone:
      return false;
    case memory_pressure::kPause:
    case memory_pressure::kRefuse:
      if (held_.bytes() < memory.bounds().small_bytes) {
        return false;
      }
      reading_paused_ = true;
      socket_.SetReading(false);
      return true;
    case memory_pressure::kClose:
      reader_.Reset();
      RefuseForMemory();
      return true;
  }
  return false;
}

void client_connection::ResumeReading() {
  if (std::exchange(reading_paused_, false)) {
    socket_.SetReading(true);
    socket_.DeliverUnread();
  }
}

void client_connection::UpdateHeld() {
  held_.Set(kConnectionBytes + reader_.held_bytes() +
            incoming_.head.headers.storage_bytes() + incoming_.body.size() +
            socket_.unconsumed() + socket_.unsent() +
            (reading_paused_ ? kReceiveBufferBytes : 0));
}

void client_connection::ObserveDelivery(time_point now) {
  const size_t unsent = socket_.unsent();
  if (unsent < last_unsent_) {
    moved_at_ = now;
  }
  last_unsent_ = unsent;
}

memory_holder client_connection::DescribeHolder(uint64_t number) const {
  memory_holder holder;
  holder.number = number;
  holder.held =
      held_.bytes() + (request_ == nullptr ? 0 : request_->held_bytes());
  holder.moved_at = moved_at_;
  holder.is_at_work =
      request_ != nullptr && request_->is_at_work() && socket_.unsent() == 0;
  return holder;
}

void client_connection::GiveUpForMemory() {
  if (destruction_requested_) {
    return;
  }
  if (IsPartlyRead()) {
    reader_.Reset();
    RefuseForMemory();
  } else if (request_ != nullptr && !response_finished_) {
    RecordEnd(client_end_reason::kMemory);
    keep_alive_ = false;
    request_->AbortRequest("memory_short");
  } else {
    End(client_end_reason::kMemory);
  }
  UpdateHeld();
}

void client_connection::WriteHead(int status, const http_headers& headers,
                                  const std::string& framing) {
  if (environment_.time_since_shutdown().count() >= 0) {
    keep_alive_ = false;
  }
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head.append(ReasonPhrase(status)).append("\r\n");
  for (const header_view field : headers.fields()) {
    head.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  head.append(framing);
  head.append(keep_alive_ ? "\r\n" : "Connection: close\r\n\r\n");
  socket_.Write(head);
}

void client_connection::Send(int status, const http_headers& headers,
                             std::string body,
                             std::optional<uint64_t> stated_length) {
  const uint64_t length = stated_length.value_or(body.size());
  WriteHead(status, headers,
            "Content-Length: " + std::to_string(length) + "\r\n");
  if (body.size() > kMaxCopiedBytes) {
    socket_.WriteShared(std::make_shared<const std::string>(std::move(body)));
  } else {
    socket_.Write(body);
  }
  UpdateHeld();
  OnResponseFinished();
}

void client_connection::StartChunked(int status, const http_headers& headers) {
  unfinished_ = true;
  WriteHead(status, headers,
            ends_with_connection_ ? "" : "Transfer-Encoding: chunked\r\n");
}

void client_connection::WriteChunk(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  if (ends_with_connection_) {
    socket_.Write(bytes);
    UpdateHeld();
    return;
  }
  constexpr size_t kMaxSizeLineBytes = 24;
  std::array<char, kMaxSizeLineBytes> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string chunk = size.data();
  chunk.append(bytes).append("\r\n");
  socket_.Write(chunk);
  UpdateHeld();
}

void client_connection::Finish() {
  unfinished_ = false;
  if (!ends_with_connection_) {
    socket_.Write("0\r\n\r\n");
  }
  OnResponseFinished();
}

void client_connection::Abort() {
  keep_alive_ = false;
  End(client_end_reason::kBrokenOff);
}

void client_connection::OnResponseFinished() {
  if (request_ == nullptr || response_finished_) {
    return;
  }
  response_finished_ = true;
  const std::weak_ptr<bool> alive = alive_;
  environment_.loop.Defer([this, alive] {
    if (!alive.expired()) {
      PrepareForNextRequest();
    }
  });
}

void client_connection::PrepareForNextRequest() {
  request_.reset();
  if (closing_) {
    return;
  }
  if (!keep_alive_) {
    BeginClosing();
    return;
  }
  reader_.Reset();
  RestartLimits();
  idle_since_ = environment_.clock();
  delivery_.Restart(idle_since_);
  UpdateHeld();
  socket_.DeliverUnread();
}

void client_connection::BeginClosing() {
  if (!closing_) {
    closing_ = true;
    lingering_since_ = environment_.clock();
    delivery_.Restart(lingering_since_);
  }
}

void client_connection::CheckReadTimeouts(time_point now) {
  const milliseconds delay = environment_.parameters.max_tables_delay;
  if (!reader_.started()) {
    if (now - idle_since_ > limits_.limits().idle_timeout + delay) {
      CloseIfIdle(client_end_reason::kIdle);
    }
    return;
  }
  const milliseconds limit = head_received_ ? limits_.limits().idle_timeout
                                            : limits_.limits().head_timeout;
  if (now - incoming_.arrived_at <= limit + delay) {
    return;
  }
  const bool may_be_whole = socket_.HasUnread();
  if (!may_be_whole || ++sweeps_past_limit_ > kMaxSweepsPastLimit) {
    Reject(kRequestTimeout, "request_not_whole");
  }
}

void client_connection::Tick(time_point now) {
  if (destruction_requested_) {
    return;
  }
  ObserveDelivery(now);
  UpdateHeld();
  if (closing_) {
    TickClosing(now);
    return;
  }
  if (request_ != nullptr) {
    request_->Tick(now);
    return;
  }
  if (environment_.memory->pressure() == memory_pressure::kNone) {
    ResumeReading();
  }
  if (closing_ || request_ != nullptr) {
    return;
  }
  if (CheckDelivery(socket_.unsent(), now)) {
    idle_since_ = now;
    return;
  }
  CheckReadTimeouts(now);
}

void client_connection::TickClosing(time_point now) {
  if (socket_.unsent() == 0) {
    socket_.ShutdownWrite();
  }
  if (CheckDelivery(socket_.undelivered(), now)) {
    lingering_since_ = now;
  } else if (now - lingering_since_ > kLingerTimeout) {
    End(client_end_reason::kAnswered);
  }
}

bool client_connection::CheckDelivery(size_t undelivered, time_point now) {
  if (undelivered == 0) {
    return false;
  }
  // What the system holds for the client becomes fewer before `unsent` does.
  if (delivery_.Observe(socket_.undelivered(), now) >
      environment_.parameters.max_client_stall) {
    End(client_end_reason::kStalled);
  }
  return true;
}

std::optional<time_point> client_connection::idle_since() const {
  const bool idle = request_ == nullptr && !reader_.started() && !closing_ &&
                    socket_.unsent() == 0;
  return idle ? std::optional<time_point>(idle_since_) : std::nullopt;
}

void client_connection::CloseIfIdle(client_end_reason reason) {
  if (!IsIdle()) {
    return;
  }
  const std::weak_ptr<bool> alive = alive_;
  environment_.loop.Defer([this, alive, reason] {
    // A request may have arrived since.
    if (alive.expired() || !IsIdle()) {
      return;
    }
    RecordEnd(reason);
    on_closed_();
  });
}

bool client_connection::IsIdle() const {
  return idle_since().has_value() && !socket_.HasUnread();
}

void client_connection::AbortRequest() {
  if (request_ != nullptr) {
    request_->AbortRequest("process_ends");
  }
}

}  // namespace skylarkcroft

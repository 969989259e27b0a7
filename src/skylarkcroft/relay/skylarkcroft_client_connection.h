#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_CONNECTION_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/relay/skylarkcroft_binding_limits.h"
#include "skylarkcroft/relay/skylarkcroft_delivery_progress.h"
#include "skylarkcroft/relay/skylarkcroft_relay_environment.h"
#include "skylarkcroft/relay/skylarkcroft_relay_request.h"
#include "skylarkcroft/relay/skylarkcroft_response_writer.h"
#include "skylarkcroft/wire/skylarkcroft_message_reader.h"
#include "skylarkcroft/wire/skylarkcroft_stream_socket.h"

namespace skylarkcroft {

/// A connection from a client. Reads its requests one after another and writes
/// the responses.
class client_connection final : public response_writer {
 public:
  /// Takes ownership of `fd`. `on_closed` asks the owner to destroy the
  /// connection; it is never called from within a call into the connection.
  client_connection(relay_environment& environment, int fd,
                    std::function<void()> on_closed);
  ~client_connection() override;
  client_connection(const client_connection&) = delete;
  client_connection& operator=(const client_connection&) = delete;

  /// Enforces time limits; called every sweep_interval.
  void Tick(time_point now);
  /// Takes in that other limits for clients are in force.
  void OnLimitsChanged(const client_limits& in_force) {
    limits_.OnChange(in_force);
    reader_.SetMaxHeadBytes(limits_.limits().max_head_bytes);
  }
  /// Closes the connection unless it is reading or serving a request, or one
  /// lies unread.
  void CloseIfIdle(client_end_reason reason);
  /// Frees what the connection holds because the node's memory is short: a
  /// request that is read in part is refused, another is ended.
  void GiveUpForMemory();
  [[nodiscard]] memory_holder DescribeHolder(uint64_t number) const;
  /// Ends the request in flight because the process is about to exit.
  void AbortRequest();
  /// Records once that this node ends the connection.
  void RecordEnd(client_end_reason reason);
  [[nodiscard]] bool busy() const { return request_ != nullptr; }
  /// Whether no request is in flight or partly read and nothing is left to send
  /// or to read.
  [[nodiscard]] bool IsSettled() const {
    return !busy() && !IsPartlyRead() && socket_.unsent() == 0 &&
           !socket_.HasUnread();
  }
  /// Since when the connection neither reads nor serves a request; empty while
  /// it does.
  [[nodiscard]] std::optional<time_point> idle_since() const;

  void Send(int status, const http_headers& headers, std::string body,
            std::optional<uint64_t> stated_length) override;
  void StartChunked(int status, const http_headers& headers) override;
  void WriteChunk(std::string_view bytes) override;
  void Finish() override;
  void Abort() override;
  [[nodiscard]] size_t unsent() const override { return socket_.unsent(); }
  [[nodiscard]] bool HasClientLeft() const override {
    return socket_.HasPeerClosed();
  }

 private:
  size_t OnBytes(std::string_view bytes);
  void OnHead(message_head&& head);
  void OnBody(std::string_view bytes);
  void OnRequest();
  void OnClosed();
  void Reject(int status, std::string_view reason);
  /// Refuses a request that is not read to its end, so that it never runs.
  void RefuseForMemory();
  /// Whether no more of the request may be read for now. Refuses it where the
  /// node's memory is used up.
  bool HoldsBackReading();
  /// Reads on once the node's memory allows it.
  void ResumeReading();
  void UpdateHeld();
  /// Takes in that the client has taken bytes of its answer.
  void ObserveDelivery(time_point now);
  void WriteHead(int status, const http_headers& headers,
                 const std::string& framing);
  void OnResponseFinished();
  void PrepareForNextRequest();
  void BeginClosing();
  void TickClosing(time_point now);
  /// Ends the connection if the client takes nothing of its answer; returns
  /// whether bytes of it are undelivered.
  bool CheckDelivery(size_t undelivered, time_point now);
  void CheckReadTimeouts(time_point now);
  /// Whether the connection neither reads nor serves a request and none lies
  /// unread.
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] bool IsPartlyRead() const {
    return request_ == nullptr && !closing_ && reader_.started();
  }
  /// Begins a period of the limits for clients.
  void RestartLimits();
  [[nodiscard]] client_limits CurrentLimits() const;
  void End(client_end_reason reason);
  void RequestDestruction();

  relay_environment& environment_;
  std::function<void()> on_closed_;
  message_reader reader_;
  binding_limits limits_;
  client_request incoming_;
  bool head_received_ = false;
  /// Sweeps that found unread bytes of a request past its time limit.
  int sweeps_past_limit_ = 0;
  bool keep_alive_ = true;
  /// Only the end of the connection can delimit a response of unknown length
  /// (HTTP/1.0).
  bool ends_with_connection_ = false;
  /// A response of unknown length has been started and not finished.
  bool unfinished_ = false;
  bool response_finished_ = false;
  bool closing_ = false;
  bool destruction_requested_ = false;
  bool end_recorded_ = false;
  bool had_request_ = false;
  time_point idle_since_{};
  /// Since when a closing connection has had nothing left to deliver.
  time_point lingering_since_{};
  delivery_progress delivery_;
  memory_share held_;
  /// Nothing is read because the node's memory is short.
  bool reading_paused_ = false;
  /// When the client last sent or took a byte.
  time_point moved_at_{};
  size_t last_unsent_ = 0;
  std::unique_ptr<relay_request> request_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  stream_socket socket_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_CONNECTION_H_

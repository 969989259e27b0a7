#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_CONNECTION_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/relay/skylarkcroft_client_answer.h"
#include "skylarkcroft/relay/skylarkcroft_relay_environment.h"
#include "skylarkcroft/relay/skylarkcroft_relay_request.h"
#include "skylarkcroft/wire/skylarkcroft_message_reader.h"
#include "skylarkcroft/wire/skylarkcroft_stream_socket.h"

namespace skylarkcroft {

/// One client's connection: reads its requests one after another and writes
/// their answers.
class client_connection final : public client_answer {
 public:
  /// Takes over `fd`. `on_closed` asks the owner to destroy the connection; it
  /// is never called inside of another call into the connection.
  client_connection(relay_environment& environment, int fd,
                    std::function<void()> on_closed);
  ~client_connection() override;
  client_connection(const client_connection&) = delete;
  client_connection& operator=(const client_connection&) = delete;

  void Tick(time_point now);
  /// Closes the connection if no request is at work on it.
  void CloseIfIdle();
  /// Ends the request at work, because the process ends.
  void GiveUp();
  [[nodiscard]] bool busy() const { return request_ != nullptr; }

  void Send(int status, const http_headers& headers, std::string_view body,
            std::optional<uint64_t> stated_length) override;
  void Begin(int status, const http_headers& headers) override;
  void Add(std::string_view bytes) override;
  void End() override;
  void Break() override;
  [[nodiscard]] size_t unsent() const override { return socket_.unsent(); }

 private:
  size_t OnBytes(std::string_view bytes);
  void OnHead(const message_head& head);
  void OnBody(std::string_view bytes);
  void OnRequest();
  void OnClosed();
  void Reject(int status, std::string_view reason);
  void WriteHead(int status, const http_headers& headers,
                 const std::string& framing);
  void AnswerEnded();
  void GoOn();
  void BeginClosing();
  void CheckWaiting(time_point now);
  [[nodiscard]] client_limits Limits() const;
  void AskToDestroy();

  relay_environment& environment_;
  std::function<void()> on_closed_;
  message_reader reader_;
  client_limits limits_;
  client_request reading_;
  bool head_read_ = false;
  bool keep_alive_ = true;
  bool answered_ = false;
  bool closing_ = false;
  bool destroy_asked_ = false;
  time_point waiting_since_{};
  time_point closing_since_{};
  std::unique_ptr<relay_request> request_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  stream_socket socket_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_CONNECTION_H_

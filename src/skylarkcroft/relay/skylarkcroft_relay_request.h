#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_REQUEST_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/relay/skylarkcroft_attempt_rules.h"
#include "skylarkcroft/relay/skylarkcroft_client_answer.h"
#include "skylarkcroft/relay/skylarkcroft_event_splitter.h"
#include "skylarkcroft/relay/skylarkcroft_relay_environment.h"
#include "skylarkcroft/wire/skylarkcroft_message_reader.h"

namespace skylarkcroft {

/// A request as a client sent it, whole.
struct client_request {
  message_head head;
  std::string body;
  time_point arrived_at{};
};

/// Serves one client request: decides where it goes, passes the answer on and
/// repeats what may be repeated. Ends with exactly one answer, or none where
/// the client has left.
class relay_request {
 public:
  /// `answer` outlives the request.
  relay_request(relay_environment& environment, client_request request,
                client_answer& answer);
  ~relay_request();
  relay_request(const relay_request&) = delete;
  relay_request& operator=(const relay_request&) = delete;

  void Start();
  /// Acts on time limits; to be called every sweep.
  void Tick(time_point now);
  /// The client has left; the work upstream is ended.
  void ClientLeft();
  /// The process ends now.
  void GiveUp(const std::string& reason);
  [[nodiscard]] bool ended() const { return ended_; }

 private:
  /// One upstream's part in the request.
  struct attempt {
    placement placed;
    exchange_ptr exchange;
    time_point started_at{};
    std::optional<message_head> head;
    std::string body;
    bool is_stream = false;
    bool begun = false;
    time_point last_byte{};
    bool paused = false;
  };

  bool PassGate();
  bool PassAllotment();
  void SetTimeLimit();
  [[nodiscard]] milliseconds TimeLeft(time_point now) const;
  [[nodiscard]] placement_request AskPlacement() const;
  void TryNext();
  void Send(const placement& placed);
  [[nodiscard]] std::string Format(const placement& placed) const;
  void OnHead(const message_head& head);
  void OnBody(std::string_view bytes);
  void OnEnd(exchange_end how);
  void NoteBegun();
  void OnWholeAnswer();
  void PassEvents(std::string_view bytes);
  [[nodiscard]] bool IsForeign(const message_head& head) const;
  [[nodiscard]] std::optional<attempt_failure> FailureOf(
      const message_head& head) const;
  void PassWhole();
  void Fail(attempt_failure failure);
  void CloseAttempt(upstream_outcome outcome);
  void CheckSilence(time_point now);
  [[nodiscard]] bool IsEngineSilent(milliseconds quiet, time_point now) const;
  void CheckBacklog();
  void EndWithout(final_answer how, const std::string& reason,
                  milliseconds retry_after);
  void Refuse(int status, const std::string& reason, milliseconds retry_after);
  void Ended(int status, const std::string& reason);

  relay_environment& environment_;
  client_request request_;
  client_answer& answer_;
  gate_view tables_;
  gate_decision gate_;
  std::string request_id_;
  std::string service_;
  generation_shape shape_;
  int urgency_ = 0;
  int64_t cache_tokens_ = 0;
  double draw_ = 0;
  double allotted_ = 0;
  time_point time_limit_{};
  std::vector<std::string> tried_;
  std::unique_ptr<attempt> attempt_;
  event_splitter splitter_;
  std::optional<int64_t> last_event_;
  bool answer_begun_ = false;
  bool any_may_have_run_ = false;
  bool counted_begun_ = false;
  bool ended_ = false;
  request_record record_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_REQUEST_H_

#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_LOAD_REQUEST_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_LOAD_REQUEST_H_

#include <functional>
#include <string>
#include <string_view>

#include "load/skylarkcroft_completion_reader.h"
#include "load/skylarkcroft_experiment_definition.h"
#include "load/skylarkcroft_request_plan.h"
#include "load/skylarkcroft_request_record.h"
#include "load/skylarkcroft_told_problem.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::load {

/// What all requests of a run share.
struct request_context {
  event_loop& loop;
  http_client& client;
  clock_fn clock;
  /// A node for the next connection; not `avoid` where there is another.
  std::function<endpoint(const endpoint& avoid)> pick_node;
  token_text_fn token_text;
  milliseconds progress_timeout{0};
  bool resume_broken = true;
};

/// One request from its first connection to its outcome: follows up deferred
/// work, continues broken streams and submits broken keyed calls again, as a
/// careful caller would.
class load_request {
 public:
  using ended_fn = std::function<void(const request_record&)>;

  /// `on_ended` is called once, and may destroy this object.
  load_request(const request_context& context, const caller_group& group,
               request_plan plan, ended_fn on_ended);
  load_request(const load_request&) = delete;
  load_request& operator=(const load_request&) = delete;

  void Start();
  /// What is known of a request that will not be waited for any longer.
  [[nodiscard]] request_record Abandoned(time_point now) const;

 private:
  void Send(const http_request& request);
  void TakeHeaders(int status, const http_headers& headers);
  void TakeData(std::string_view data);
  void TakeDone(const http_result& result);
  void TakeAnswer();
  void TakeBreak(const std::string& cause);
  void TakeRefusal(const told_problem& told);
  [[nodiscard]] bool CanContinue() const;
  void ContinueLater();
  void Continue();
  void PollLater();
  [[nodiscard]] request_record Record(request_outcome outcome,
                                      const std::string& reason,
                                      time_point now) const;
  void End(const request_record& record);

  request_context context_;
  const caller_group& group_;
  request_plan plan_;
  ended_fn on_ended_;
  completion_reader reader_;
  endpoint node_;
  http_call_ptr call_;
  event_loop::handle_ptr timer_;
  std::string request_id_;
  std::string result_target_;
  std::string body_;
  int status_ = 0;
  bool streaming_ = false;
  int attempts_ = 0;
  int64_t resumes_ = 0;
};

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_LOAD_REQUEST_H_

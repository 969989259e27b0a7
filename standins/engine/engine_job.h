#ifndef SKYLARKCROFT_STANDINS_ENGINE_ENGINE_JOB_H_
#define SKYLARKCROFT_STANDINS_ENGINE_ENGINE_JOB_H_

#include <cstdint>
#include <optional>
#include <string>

#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "standins/engine/batch_scheduler.h"
#include "standins/engine/completion_request.h"
#include "standins/engine/completion_writer.h"
#include "standins/engine/prompt_blocks.h"

namespace skylarkcroft::standin {

/// One accepted completion: what it has generated and its connection.
class engine_job {
 public:
  /// `break_after`: tokens generated here after which the connection breaks.
  engine_job(job_id id, completion_request request, http_exchange_ptr exchange,
             std::optional<int64_t> break_after, time_point arrived,
             int64_t created_s);

  [[nodiscard]] job_id id() const { return id_; }
  [[nodiscard]] const completion_request& request() const { return request_; }
  [[nodiscard]] const prompt_blocks& blocks() const { return blocks_; }
  /// CompletionSeed() of model and prompt.
  [[nodiscard]] uint64_t seed() const { return seed_; }
  [[nodiscard]] bool started() const { return started_; }
  /// Tokens of the answer that exist, those delivered before a resume included.
  [[nodiscard]] int64_t tokens() const { return tokens_; }
  [[nodiscard]] int64_t tokens_left() const { return length_ - tokens_; }
  /// Tokens generated here.
  [[nodiscard]] int64_t generated() const {
    return tokens_ - request_.delivered;
  }
  [[nodiscard]] bool ExpiredAt(time_point now) const;

  /// Marks the job as started, and starts a streamed answer.
  void Start(int64_t cached_tokens);
  /// True when the connection is to be closed in place of a further token.
  [[nodiscard]] bool BreaksHere() const {
    return break_after_.has_value() && generated() >= *break_after_;
  }
  [[nodiscard]] const http_exchange_ptr& exchange() const { return exchange_; }
  /// Generates the next token and sends it if streamed; ends the answer after
  /// the last.
  void GenerateToken();
  /// Ends the answer when no token is left to generate.
  void Finish();
  /// Ends an answer that will get no further token: a stream without its
  /// closing events, a whole answer by closing the connection.
  void Stop();
  /// Answers a job that has not started.
  void Refuse(int status, const std::string& message);

 private:
  [[nodiscard]] finish_reason ReasonAt(int64_t index) const;
  [[nodiscard]] completion_usage Usage() const;

  job_id id_;
  completion_request request_;
  http_exchange_ptr exchange_;
  std::optional<int64_t> break_after_;
  std::optional<time_point> deadline_;
  completion_writer writer_;
  prompt_blocks blocks_;
  uint64_t seed_;
  int64_t length_;
  int64_t tokens_;
  int64_t cached_tokens_ = 0;
  bool started_ = false;
  /// Text of an answer that is not streamed.
  std::string text_;
};

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_ENGINE_ENGINE_JOB_H_

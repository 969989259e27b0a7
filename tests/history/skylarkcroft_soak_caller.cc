#include "tests/history/skylarkcroft_soak_caller.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/attempt/skylarkcroft_sse_parser.h"
#include "standins/engine/completion_text.h"

namespace skylarkcroft::history {
namespace {

constexpr size_t kRecentKeys = 6;
constexpr int64_t kMaxGapMs = 40;
constexpr int64_t kMaxTokens = 30;
constexpr milliseconds kCallerPatience{40000};
constexpr size_t kMaxEventBytes = 1 << 20;
constexpr int kOk = 200;
constexpr const char* kModel = "m";
constexpr const char* kProblemType = "application/problem+json";

/// Shares of the kinds of requests, in percent, each with those before it.
constexpr int64_t kStreamedShare = 30;
constexpr int64_t kWholeShare = 45;
constexpr int64_t kReadAgainShare = 55;
constexpr int64_t kKeyedShare = 85;
constexpr int64_t kAll = 100;

request_outcome OutcomeOf(const std::string& run_state) {
  if (run_state == "not_run") {
    return request_outcome::kNotRun;
  }
  if (run_state == "ran") {
    return request_outcome::kRan;
  }
  return run_state == "unknown" ? request_outcome::kUnknown
                                : request_outcome::kNone;
}

}  // namespace

std::string recent_keys::Choose(std::mt19937_64& random) {
  constexpr uint64_t kOneOf = 2;
  if (!keys_.empty() && random() % kOneOf == 0) {
    return keys_[random() % keys_.size()];
  }
  keys_.push_back("key-" + std::to_string(next_++));
  if (keys_.size() > kRecentKeys) {
    keys_.erase(keys_.begin());
  }
  return keys_.back();
}

soak_caller::soak_caller(const caller_environment& environment,
                         std::string name, uint64_t seed)
    : environment_(environment), name_(std::move(name)), random_(seed) {}

int64_t soak_caller::Below(int64_t bound) {
  return static_cast<int64_t>(random_() % static_cast<uint64_t>(bound));
}

void soak_caller::WaitForNext() {
  timer_ = environment_.loop.After(milliseconds(Below(kMaxGapMs)),
                                   [this] { SendNext(); });
}

void soak_caller::SendNext() {
  if (stopped_) {
    return;
  }
  ++number_;
  const int64_t draw = Below(kAll);
  if (draw < kWholeShare) {
    Send(MakeCompletion(draw < kStreamedShare));
    return;
  }
  if (draw < kReadAgainShare && !last_streamed_.request_id.empty()) {
    Send(MakeReadAgain());
    return;
  }
  Send(MakeOrder(draw < kKeyedShare));
}

soak_caller::call_state soak_caller::MakeCompletion(bool streamed) {
  call_state state;
  state.streamed = streamed;
  state.tokens = 1 + Below(kMaxTokens);
  state.prompt = name_ + " asks " + std::to_string(number_);
  state.request.method = "POST";
  state.request.target = "/v1/completions";
  state.request.body = nlohmann::json({{"model", kModel},
                                       {"prompt", state.prompt},
                                       {"max_tokens", state.tokens},
                                       {"stream", streamed}})
                           .dump();
  return state;
}

soak_caller::call_state soak_caller::MakeReadAgain() {
  call_state state = last_streamed_;
  const int64_t skipped = Below(state.tokens + 1);
  state.first_token = skipped + 1;
  state.event = {};
  state.body.clear();
  state.request = {};
  state.request.target = "/v1/requests/" + state.request_id + "/stream";
  state.request.headers.Add("Last-Event-ID", std::to_string(skipped));
  return state;
}

soak_caller::call_state soak_caller::MakeOrder(bool keyed) {
  call_state state;
  state.request.method = "POST";
  state.request.target = "/orders";
  state.event.expected = name_ + " orders " + std::to_string(number_);
  if (keyed) {
    state.event.key = environment_.keys.Choose(random_);
    state.event.expected = "order of " + state.event.key;
    state.request.headers.Add("Idempotency-Key", state.event.key);
  }
  state.request.body = state.event.expected;
  return state;
}

void soak_caller::Send(call_state state) {
  const soak_node& node = environment_.balancer.Choose(random_);
  now_ = std::move(state);
  now_.event.process = name_;
  now_.event.node = node.name;
  now_.event.call_ms = WallNowMs();
  if (!now_.prompt.empty()) {
    now_.event.expected = standin::CompletionText(
        kModel, now_.prompt, now_.first_token, now_.tokens);
  }
  now_.request.headers.Add("Authorization",
                           "Bearer " + environment_.targets.caller_key);
  http_call_options options;
  options.progress_timeout = kCallerPatience;
  call_ = environment_.client.Send(
      node.callers, now_.request, options,
      {[this](int, const http_headers& headers) {
         now_.request_id = headers.Get("X-Request-Id");
       },
       [this](std::string_view bytes) { now_.body += bytes; },
       [this](const http_result& result) { OnDone(result); }});
}

void soak_caller::OnDone(const http_result& result) {
  now_.event.return_ms = WallNowMs();
  now_.event.reason = ToString(result.outcome);
  if (result.outcome == http_outcome::kComplete) {
    TakeAnswer(result.response);
  } else if (!result.may_have_been_sent) {
    now_.event.outcome = request_outcome::kNotSent;
  }
  const bool read_again = now_.request.method == "GET";
  if (now_.event.key.empty() && !read_again) {
    now_.event.key = now_.request_id;
  }
  if (now_.streamed && now_.event.outcome == request_outcome::kAnswered) {
    last_streamed_ = now_;
  }
  environment_.history.requests.push_back(now_.event);
  call_.reset();
  WaitForNext();
}

void soak_caller::TakeAnswer(const http_response& response) {
  if (response.status != kOk) {
    now_.event.reason = "status " + std::to_string(response.status);
    if (response.headers.Get("Content-Type") == kProblemType) {
      TakeProblem(now_.body);
    } else if (now_.prompt.empty()) {
      now_.event.outcome = request_outcome::kUpstreamError;
    }
    return;
  }
  if (now_.streamed) {
    TakeStream();
    return;
  }
  const nlohmann::json document =
      nlohmann::json::parse(now_.body, nullptr, false);
  now_.event.outcome = request_outcome::kAnswered;
  const nlohmann::json::json_pointer place(
      now_.prompt.empty() ? "/body" : "/choices/0/text");
  if (document.is_object() && document.contains(place) &&
      document.at(place).is_string()) {
    now_.event.received = document.at(place).get<std::string>();
  } else {
    now_.event.received = now_.body;
  }
}

void soak_caller::TakeStream() {
  int64_t next = now_.first_token;
  sse_parser parser(kMaxEventBytes, [&](const sse_event& event) {
    if (event.event == "error") {
      TakeProblem(event.data);
      return;
    }
    if (event.data == "[DONE]") {
      now_.event.outcome = request_outcome::kAnswered;
      return;
    }
    const nlohmann::json data =
        nlohmann::json::parse(event.data, nullptr, false);
    const nlohmann::json::json_pointer text("/choices/0/text");
    if (!data.is_object() || !data.contains(text)) {
      return;
    }
    // A token out of its place must not pass as a whole answer.
    if (event.id != std::to_string(next++)) {
      now_.event.received += "[token " + event.id + "]";
    }
    now_.event.received += data.at(text).get<std::string>();
  });
  parser.Feed(now_.body);
  if (now_.event.outcome == request_outcome::kNone) {
    now_.event.reason += ", without the end of its stream";
  }
}

void soak_caller::TakeProblem(const std::string& text) {
  const nlohmann::json problem = nlohmann::json::parse(text, nullptr, false);
  if (!problem.is_object() || !problem.contains("run_state") ||
      !problem.contains("reason")) {
    now_.event.reason += ", no problem document: " + text;
    return;
  }
  now_.event.outcome = OutcomeOf(problem.at("run_state").get<std::string>());
  now_.event.reason = problem.at("reason").get<std::string>();
}

}  // namespace skylarkcroft::history

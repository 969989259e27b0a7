#include "skylarkcroft/attempt/skylarkcroft_attempt.h"

#include <charconv>
#include <memory>
#include <optional>
#include <utility>

#include "skylarkcroft/attempt/skylarkcroft_sse_parser.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/wire/skylarkcroft_end_confirmation.h"

namespace skylarkcroft {
namespace {

constexpr size_t kMaxEventBytes = 1024 * 1024;
// An engine's chunk holds an event or a few.
constexpr size_t kMaxUnreadBytes = 2 * kMaxEventBytes;
constexpr size_t kMaxStreamBytes = 256 * 1024 * 1024;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kTooManyRequests = 429;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr const char* kNotRunHeader = "X-Not-Run";
constexpr const char* kLeavingHeader = "Server-Leaving";

attempt_result FromTransportResult(const http_result& result) {
  attempt_result ended;
  ended.may_have_run = result.may_have_been_sent;
  switch (result.outcome) {
    case http_outcome::kConnectFailed:
      ended.outcome = attempt_outcome::kConnectFailed;
      break;
    case http_outcome::kTimedOut:
      ended.outcome = attempt_outcome::kTimedOut;
      break;
    case http_outcome::kMalformed:
      ended.outcome = attempt_outcome::kMalformed;
      break;
    default:
      ended.outcome = attempt_outcome::kBroken;
      break;
  }
  return ended;
}

bool StatesNotRun(const http_response& response) {
  return EqualsIgnoringCase(response.headers.Get(kNotRunHeader), "true");
}

// Whether `response` says that the request was not executed. A faulty upstream
// may write such a response once more, and it names no request, so nothing else
// may be sent on its connection.
bool IsRefusal(const http_response& response) {
  return StatesNotRun(response) || response.status == kTooManyRequests ||
         response.status == kUnavailable;
}

// Whether a success has a body that ends with its connection, without a length
// or chunks.
bool EndsWithConnection(const std::string& method,
                        const http_response& response) {
  constexpr int kNoContent = 204;
  constexpr int kFirstRedirect = 300;
  const bool has_no_body = method == "HEAD" || response.status == kNoContent ||
                           response.status >= kFirstRedirect;
  return !has_no_body && !response.headers.Has("Content-Length") &&
         !response.headers.Has("Transfer-Encoding");
}

std::optional<int64_t> ParseTokenOffset(const std::string& id) {
  int64_t offset = 0;
  const auto [end, status] =
      std::from_chars(id.data(), id.data() + id.size(), offset);
  if (id.empty() || status != std::errc() || end != id.data() + id.size()) {
    return std::nullopt;
  }
  return offset;
}

// Tells what is announced in the head of a response, if anything is. Returns
// whether the upstream leaves.
bool Announce(const std::function<void(const announcement&)>& on_announced,
              int status, const http_headers& headers) {
  const announcement told = ReadAnnouncement(status, headers, kLeavingHeader);
  if (on_announced != nullptr && told != announcement{}) {
    on_announced(told);
  }
  return told.is_leaving;
}

class engine_attempt final : public attempt {
 public:
  engine_attempt(engine_attempt_options start, engine_attempt_callbacks events)
      : start_(std::move(start)),
        delivered_(start_.delivered_tokens),
        events_(std::move(events)),
        parser_(kMaxEventBytes,
                [this](const sse_event& event) { OnEvent(event); }) {}

  void Send(http_client& client, const http_request& request) {
    http_call_options options;
    options.progress_timeout = start_.progress_timeout;
    options.max_body_bytes = kMaxStreamBytes;
    options.max_unread_bytes = kMaxUnreadBytes;
    options.reuse_connection = start_.reuse_connection;
    options.may_keep_connection = [](const http_response& response) {
      return !IsRefusal(response);
    };
    http_call_events events;
    events.on_headers = [this](int status, const http_headers& headers) {
      status_ = status;
      Announce(events_.on_announced, status, headers);
    };
    events.on_data = [this](std::string_view data) { OnData(data); };
    events.on_done = [this](const http_result& result) { OnDone(result); };
    events.may_end_silent = events_.may_end_silent;
    call_ = client.Send(start_.address, request, options, std::move(events));
  }

 private:
  void OnData(std::string_view data) {
    if (ended_) {
      return;
    }
    if (status_ != kOk) {
      error_body_.append(data.substr(0, kMaxEventBytes - error_body_.size()));
      return;
    }
    if (!parser_.Feed(data) && !ended_) {
      End({attempt_outcome::kMalformed, true, {}});
    }
  }

  void OnEvent(const sse_event& event) {
    if (ended_) {
      return;
    }
    if (event.data == "[DONE]") {
      saw_done_ = true;
      return;
    }
    if (event.data.find(start_.request_id) == std::string::npos) {
      End({attempt_outcome::kMalformed, true, {}});
      return;
    }
    if (event.id.empty()) {
      events_.on_usage(event.data);
      return;
    }
    ProcessToken(event);
  }

  void ProcessToken(const sse_event& event) {
    const std::optional<int64_t> offset = ParseTokenOffset(event.id);
    if (!offset || *offset > delivered_ + 1) {
      End({attempt_outcome::kMalformed, true, {}});
      return;
    }
    if (*offset <= delivered_) {
      return;
    }
    delivered_ = *offset;
    events_.on_token(*offset, event.data);
  }

  void OnDone(const http_result& result) {
    if (ended_) {
      return;
    }
    if (result.outcome != http_outcome::kComplete) {
      End(FromTransportResult(result));
      return;
    }
    http_response response = result.response;
    response.body = error_body_;
    const int status = response.status;
    if (status == kOk) {
      End({saw_done_ ? attempt_outcome::kComplete : attempt_outcome::kBroken,
           true,
           {}});
      return;
    }
    if (status == kTooManyRequests || status == kUnavailable) {
      End({attempt_outcome::kRefused, false, std::move(response)});
      return;
    }
    const bool definitive = status >= kBadRequest && status < kInternalError;
    End({definitive ? attempt_outcome::kRejected : attempt_outcome::kFailed,
         !definitive, std::move(response)});
  }

  void End(const attempt_result& result) {
    ended_ = true;
    events_.on_end(result);
  }

  const engine_attempt_options start_;
  int64_t delivered_;
  engine_attempt_callbacks events_;
  sse_parser parser_;
  int status_ = 0;
  bool saw_done_ = false;
  bool ended_ = false;
  std::string error_body_;
  http_call_ptr call_;
};

class service_attempt final : public attempt {
 public:
  service_attempt(std::function<void(const attempt_result&)> on_end,
                  std::function<void(const announcement&)> on_announced,
                  std::function<bool()> may_end_silent)
      : on_end_(std::move(on_end)),
        on_announced_(std::move(on_announced)),
        may_end_silent_(std::move(may_end_silent)) {}

  void Send(http_client& client, const service_attempt_options& start,
            const http_request& request) {
    http_call_options options;
    options.progress_timeout = start.progress_timeout;
    options.max_body_bytes = start.max_body_bytes;
    options.reuse_connection = start.reuse_connection;
    options.may_keep_connection = [](const http_response& response) {
      return !IsRefusal(response);
    };
    http_call_events events;
    events.on_headers = [this](int status, const http_headers& headers) {
      leaving_ = Announce(on_announced_, status, headers);
    };
    events.on_done = [this, &loop = client.loop(), address = start.address,
                      method = request.method](const http_result& result) {
      if (result.outcome != http_outcome::kComplete) {
        on_end_(FromTransportResult(result));
      } else if (EndsWithConnection(method, result.response)) {
        // A service that closes before it has the request has not answered it.
        if (result.request_undelivered) {
          on_end_({attempt_outcome::kBroken, true, {}});
        } else {
          ConfirmEnd(loop, address, result.response);
        }
      } else {
        EndWith(result.response);
      }
    };
    events.may_end_silent = may_end_silent_;
    call_ = client.Send(start.address, request, options, std::move(events));
  }

 private:
  // A process that ends closes its connections, so a body that ends with its
  // connection is whole only if the process goes on. One that leaves may exit
  // after its last answer.
  void ConfirmEnd(event_loop& loop, const endpoint& address,
                  const http_response& response) {
    // A service that closes right after its head has been cut off.
    if (response.body.empty()) {
      on_end_({attempt_outcome::kBroken, true, {}});
      return;
    }
    if (leaving_) {
      EndWith(response);
      return;
    }
    confirmation_ = std::make_unique<end_confirmation>(
        loop, address, end_confirmation_limits{},
        [this, response](bool is_whole) {
          if (is_whole) {
            EndWith(response);
          } else {
            on_end_({attempt_outcome::kBroken, true, {}});
          }
        });
  }

  void EndWith(const http_response& response) {
    const int status = response.status;
    if (StatesNotRun(response) || status == kTooManyRequests) {
      on_end_({attempt_outcome::kRefused, false, response});
      return;
    }
    if (status >= kInternalError) {
      on_end_({attempt_outcome::kFailed, true, response});
      return;
    }
    on_end_({attempt_outcome::kComplete, true, response});
  }

  std::function<void(const attempt_result&)> on_end_;
  std::function<void(const announcement&)> on_announced_;
  std::function<bool()> may_end_silent_;
  bool leaving_ = false;
  http_call_ptr call_;
  std::unique_ptr<end_confirmation> confirmation_;
};

}  // namespace

attempt_ptr StartEngineAttempt(http_client& client,
                               const engine_attempt_options& start,
                               const http_request& request,
                               engine_attempt_callbacks events) {
  auto started = std::make_unique<engine_attempt>(start, std::move(events));
  started->Send(client, request);
  return started;
}

attempt_ptr StartServiceAttempt(
    http_client& client, const service_attempt_options& start,
    const http_request& request,
    std::function<void(const attempt_result&)> on_end,
    std::function<void(const announcement&)> on_announced,
    std::function<bool()> may_end_silent) {
  auto started = std::make_unique<service_attempt>(
      std::move(on_end), std::move(on_announced), std::move(may_end_silent));
  started->Send(client, start, request);
  return started;
}

}  // namespace skylarkcroft

#include "skylarkcroft/control/skylarkcroft_bounded_caller.h"

#include <memory>
#include <utility>

namespace skylarkcroft {

bounded_caller::bounded_caller(event_loop& loop, http_client& client,
                               milliseconds limit)
    : loop_(loop), client_(client), limit_(limit) {}

void bounded_caller::Drop(uint64_t id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  const auto ended = std::make_shared<call>(std::move(found->second));
  calls_.erase(found);
  loop_.Defer([ended] {});
}

void bounded_caller::Send(const endpoint& address, const http_request& request,
                          const done_fn& done) {
  const uint64_t id = next_id_++;
  http_call_options options;
  options.progress_timeout = limit_;
  // A request that is cut off must not be left in a connection that is kept.
  options.reuse_connection = false;
  http_call_events events;
  events.on_done = [this, id, done](const http_result& result) {
    Drop(id);
    const bool answered = result.outcome == http_outcome::kComplete;
    done(answered ? std::optional(result.response) : std::nullopt);
  };
  call& started = calls_[id];
  started.limit = loop_.After(limit_, [this, id, done] {
    Drop(id);
    done(std::nullopt);
  });
  started.sent = client_.Send(address, request, options, std::move(events));
}

bool Succeeded(const std::optional<http_response>& response) {
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return response && response->status >= kFirstSuccess &&
         response->status < kFirstRedirect;
}

}  // namespace skylarkcroft

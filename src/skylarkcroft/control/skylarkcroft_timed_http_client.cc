#include "skylarkcroft/control/skylarkcroft_timed_http_client.h"

#include <memory>
#include <utility>

namespace skylarkcroft {

timed_http_client::timed_http_client(event_loop& loop, http_client& client,
                                     milliseconds timeout)
    : loop_(loop), client_(client), timeout_(timeout) {}

void timed_http_client::Close(uint64_t id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  const auto closed = std::make_shared<http_call_ptr>(std::move(found->second));
  calls_.erase(found);
  loop_.Defer([closed] {});
}

void timed_http_client::Send(const endpoint& address,
                             const http_request& request, const done_fn& done) {
  const uint64_t id = next_id_++;
  http_call_options options;
  options.progress_timeout = timeout_;
  options.total_timeout = timeout_;
  // An aborted request must not remain on a connection that is reused.
  options.reuse_connection = false;
  http_call_events events;
  events.on_done = [this, id, done](const http_result& result) {
    Close(id);
    const bool complete = result.outcome == http_outcome::kComplete;
    done(complete ? std::optional(result.response) : std::nullopt);
  };
  calls_[id] = client_.Send(address, request, options, std::move(events));
}

bool Succeeded(const std::optional<http_response>& response) {
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return response && response->status >= kFirstSuccess &&
         response->status < kFirstRedirect;
}

}  // namespace skylarkcroft

#include "skylarkcroft/platform/skylarkcroft_service_caller.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {

service_caller::service_caller(http_client& client, endpoint address,
                               milliseconds timeout)
    : client_(client), address_(std::move(address)), timeout_(timeout) {}

void service_caller::Send(const http_request& request, done_fn done) {
  http_call_options options;
  options.progress_timeout = timeout_;
  options.total_timeout = kTotalOfTimeouts * timeout_;
  Start(request, options, std::move(done));
}

void service_caller::SendWithin(const http_request& request, milliseconds limit,
                                done_fn done) {
  SendWithin(request, limit, limit, std::move(done));
}

void service_caller::SendWithin(const http_request& request,
                                milliseconds silence, milliseconds total,
                                done_fn done) {
  http_call_options options;
  options.progress_timeout = silence;
  options.total_timeout = total;
  options.connect_timeout = std::min(silence, options.connect_timeout);
  Start(request, options, std::move(done));
}

void service_caller::Start(const http_request& request,
                           const http_call_options& options, done_fn done) {
  const uint64_t id = next_id_++;
  http_call_events events;
  events.on_done = [this, id,
                    done = std::move(done)](const http_result& result) {
    // Taken out first, since `done` may destroy this object.
    const http_call_ptr ended = std::move(calls_.at(id));
    calls_.erase(id);
    done(result);
  };
  calls_[id] = client_.Send(address_, request, options, std::move(events));
}

}  // namespace skylarkcroft

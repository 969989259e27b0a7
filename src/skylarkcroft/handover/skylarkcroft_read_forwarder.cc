#include "skylarkcroft/handover/skylarkcroft_read_forwarder.h"

#include <utility>

#include "skylarkcroft/http/skylarkcroft_problem.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft {
namespace {

// Time without data after which the read from the holder fails. It is long
// because the stream of a slow engine has long pauses.
constexpr milliseconds kHolderSilenceTimeout{60000};

http_headers ForwardedHeaders(const http_headers& headers) {
  http_headers passed;
  for (const char* name : {"Content-Type", "X-Request-Id", "Retry-After"}) {
    if (headers.Has(name)) {
      passed.Add(name, headers.Get(name));
    }
  }
  return passed;
}

http_request ForwardedRequest(const http_request& original) {
  http_request forwarded;
  forwarded.target = original.target;
  for (const char* name : {"Authorization", "Last-Event-ID"}) {
    if (original.headers.Has(name)) {
      forwarded.headers.Add(name, original.headers.Get(name));
    }
  }
  forwarded.headers.Add(kForwardedHeader, "1");
  return forwarded;
}

}  // namespace

struct read_forwarder::forwarded_read {
  http_exchange_ptr exchange;
  http_call_ptr call;
  bool started = false;
};

read_forwarder::read_forwarder(event_loop& loop, http_client& client)
    : loop_(loop), client_(client) {}

read_forwarder::~read_forwarder() = default;

void read_forwarder::Forward(const http_exchange_ptr& exchange,
                             const endpoint& holder) {
  auto current = std::make_shared<forwarded_read>();
  current->exchange = exchange;
  forwarded_read* raw = current.get();
  reads_.emplace(raw, current);
  exchange->OnPeerGone([this, raw] {
    // Destroying the read cancels its call.
    const auto found = reads_.find(raw);
    if (found != reads_.end()) {
      loop_.Defer([finished = std::move(found->second)] {});
      reads_.erase(found);
    }
  });
  http_call_options options;
  options.progress_timeout = kHolderSilenceTimeout;
  http_call_events events;
  events.on_headers = [raw](int status, const http_headers& headers) {
    raw->started = true;
    raw->exchange->Start(status, ForwardedHeaders(headers));
  };
  events.on_data = [raw](std::string_view data) { raw->exchange->Write(data); };
  events.on_done = [this, raw](const http_result& result) {
    const auto found = reads_.find(raw);
    if (found != reads_.end()) {
      OnDone(found->second, result);
    }
  };
  current->call = client_.Send(holder, ForwardedRequest(exchange->request()),
                               options, std::move(events));
}

void read_forwarder::OnDone(const std::shared_ptr<forwarded_read>& finished,
                            const http_result& result) {
  finished->exchange->OnPeerGone(nullptr);
  if (!finished->started) {
    problem unreachable =
        MakeProblem(refusal_reason::kNotReady, run_state::kUnknown,
                    "the node that has this request does not "
                    "answer; read it again",
                    "");
    constexpr std::chrono::seconds kRetryAfter{1};
    unreachable.retry_after = kRetryAfter;
    finished->exchange->Reply(ToResponse(unreachable));
  } else if (result.outcome == http_outcome::kComplete) {
    finished->exchange->End();
  } else {
    finished->exchange->Abort();
  }
  const forwarded_read* raw = finished.get();
  loop_.Defer([kept = finished] {});
  reads_.erase(raw);
}

}  // namespace skylarkcroft

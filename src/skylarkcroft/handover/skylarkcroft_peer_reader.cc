#include "skylarkcroft/handover/skylarkcroft_peer_reader.h"

#include <utility>

#include "skylarkcroft/http/skylarkcroft_problem.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft {
namespace {

// Longest silence of the holder; a stream of a slow engine is silent for long.
constexpr milliseconds kHolderSilence{60000};

http_headers PassedBack(const http_headers& headers) {
  http_headers passed;
  for (const char* name : {"Content-Type", "X-Request-Id", "Retry-After"}) {
    if (headers.Has(name)) {
      passed.Add(name, headers.Get(name));
    }
  }
  return passed;
}

http_request Question(const http_request& original) {
  http_request question;
  question.target = original.target;
  for (const char* name : {"Authorization", "Last-Event-ID"}) {
    if (original.headers.Has(name)) {
      question.headers.Add(name, original.headers.Get(name));
    }
  }
  question.headers.Add(kForwardedHeader, "1");
  return question;
}

}  // namespace

struct peer_reader::read {
  http_exchange_ptr exchange;
  http_call_ptr call;
  bool started = false;
};

peer_reader::peer_reader(event_loop& loop, http_client& client)
    : loop_(loop), client_(client) {}

peer_reader::~peer_reader() = default;

void peer_reader::Forward(const http_exchange_ptr& exchange,
                          const endpoint& holder) {
  auto current = std::make_shared<read>();
  current->exchange = exchange;
  read* raw = current.get();
  reads_.emplace(raw, current);
  exchange->OnPeerGone([this, raw] {
    // Ends the call, and with it this read.
    const auto found = reads_.find(raw);
    if (found != reads_.end()) {
      loop_.Defer([ended = std::move(found->second)] {});
      reads_.erase(found);
    }
  });
  http_call_options options;
  options.progress_timeout = kHolderSilence;
  http_call_events events;
  events.on_headers = [raw](int status, const http_headers& headers) {
    raw->started = true;
    raw->exchange->Start(status, PassedBack(headers));
  };
  events.on_data = [raw](std::string_view data) { raw->exchange->Write(data); };
  events.on_done = [this, raw](const http_result& result) {
    const auto found = reads_.find(raw);
    if (found != reads_.end()) {
      OnDone(found->second, result);
    }
  };
  current->call = client_.Send(holder, Question(exchange->request()), options,
                               std::move(events));
}

void peer_reader::OnDone(const std::shared_ptr<read>& ended,
                         const http_result& result) {
  ended->exchange->OnPeerGone(nullptr);
  if (!ended->started) {
    problem why = MakeProblem(refusal_reason::kNotReady, run_state::kUnknown,
                              "the node that has this request does not "
                              "answer; read it again",
                              "");
    constexpr std::chrono::seconds kRetryAfter{1};
    why.retry_after = kRetryAfter;
    ended->exchange->Reply(ToResponse(why));
  } else if (result.outcome == http_outcome::kComplete) {
    ended->exchange->End();
  } else {
    ended->exchange->Abort();
  }
  const read* raw = ended.get();
  loop_.Defer([kept = ended] {});
  reads_.erase(raw);
}

}  // namespace skylarkcroft

#include "tests/relay_soak/soak_upstream.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace skylarkcroft::soak {
namespace {

constexpr milliseconds kEventGap{15};
constexpr int kPercent = 100;
constexpr int kUnavailable = 503;
constexpr int kOtherProcess = 421;
// Long enough to come in several reads.
constexpr size_t kPlainBytes = 3000;

request_kind KindOf(const std::string& target) {
  if (target.starts_with("/safe/")) {
    return request_kind::kSafe;
  }
  if (target.starts_with("/once/")) {
    return request_kind::kOnce;
  }
  return target.starts_with("/resume/") ? request_kind::kResumable
                                        : request_kind::kStream;
}

std::string Event(const std::string& request, int number) {
  const std::string text = std::to_string(number);
  return "id: " + text + "\ndata: " + request + " " + text + "\n\n";
}

std::string Chunk(const std::string& text) {
  std::string size;
  constexpr size_t kHex = 16;
  for (size_t left = text.size(); left > 0; left /= kHex) {
    size.insert(size.begin(), "0123456789abcdef"[left % kHex]);
  }
  return size + "\r\n" + text + "\r\n";
}

std::string Head(const std::string& id, const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id +
         "\r\nX-Response-Signature: s\r\n";
}

}  // namespace

std::string ExpectedBody(request_kind kind, const std::string& request) {
  std::string body;
  if (kind == request_kind::kSafe || kind == request_kind::kOnce) {
    while (body.size() < kPlainBytes) {
      body += request + " ";
    }
    return body;
  }
  for (int i = 1; i <= kStreamEvents; ++i) {
    body += Event(request, i);
  }
  return body;
}

soak_upstream::soak_upstream(event_loop& loop, history& seen,
                             const std::string& id, uint32_t seed)
    : loop_(loop),
      seen_(seen),
      id_(id),
      upstream_(loop),
      proxy_(loop, upstream_.address()),
      random_(seed),
      declined_percent_(kDeclinedPercent) {
  upstream_.SetHandler(
      [this](const scripted_upstream::received_request& to) { Handle(to); });
}

std::string soak_upstream::Entry(const std::string& service,
                                 const std::string& state) const {
  return nlohmann::json{
      {"service", service}, {"address", ToString(proxy_.address())},
      {"zone", "a"},        {"slots", 64},
      {"state", state},     {"born", 1}}
      .dump();
}

void soak_upstream::Later(milliseconds delay, std::function<void()> call) {
  timers_.push_back(loop_.After(delay, std::move(call)));
}

void soak_upstream::WriteLater(milliseconds delay, std::function<void()> call) {
  Later(delay, [this, call = std::move(call)] {
    const auto left =
        std::chrono::ceil<milliseconds>(paused_until_ - SteadyNow());
    if (left.count() > 0) {
      WriteLater(left, call);
      return;
    }
    call();
  });
}

void soak_upstream::Decline(const scripted_upstream::received_request& to,
                            int status) {
  const std::string id = to.head.headers.Get("X-Attempt-Id");
  to.write(Head(id, std::to_string(status) + " No") +
           "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
}

void soak_upstream::Handle(const scripted_upstream::received_request& to) {
  const http_headers& headers = to.head.headers;
  const std::string expected = headers.Get("X-Expected-Instance");
  if (!expected.empty() && expected != id_) {
    Decline(to, kOtherProcess);
    return;
  }
  if (static_cast<int>(random_() % kPercent) < declined_percent_) {
    Decline(to, kUnavailable);
    return;
  }
  const request_kind kind = KindOf(to.head.target);
  seen_.arrivals.push_back(DescribeRun(to));
  if (loses_answers_ && random_() % 2 == 0) {
    NoteRun(to);
    to.close();
    return;
  }
  if (kind == request_kind::kResumable) {
    // A request that may run elsewhere begins with its first event.
    WriteLater(milliseconds(0), [this, to] {
      if (!*to.closed) {
        StartStream(to, NoteRun(to));
      }
    });
    return;
  }
  const size_t run = NoteRun(to);
  if (kind == request_kind::kSafe || kind == request_kind::kOnce) {
    AnswerPlain(to, kind);
    return;
  }
  WriteLater(milliseconds(0), [this, to, run] { StartStream(to, run); });
}

size_t soak_upstream::NoteRun(const scripted_upstream::received_request& to) {
  seen_.runs.push_back(DescribeRun(to));
  return seen_.runs.size() - 1;
}

run_seen soak_upstream::DescribeRun(
    const scripted_upstream::received_request& to) const {
  const http_headers& headers = to.head.headers;
  return {headers.Get("X-Attempt-Id"), id_, headers.Get("X-Key"), SteadyNow(),
          std::nullopt};
}

void soak_upstream::WatchEnd(const scripted_upstream::received_request& to,
                             size_t run) {
  if (seen_.runs[run].ended_at.has_value()) {
    return;
  }
  if (*to.closed) {
    seen_.runs[run].ended_at = SteadyNow();
    return;
  }
  Later(kEventGap, [this, to, run] { WatchEnd(to, run); });
}

void soak_upstream::StartStream(const scripted_upstream::received_request& to,
                                size_t run) {
  const http_headers& headers = to.head.headers;
  const std::string last = headers.Get("Last-Event-Id");
  to.write(Head(headers.Get("X-Attempt-Id"), "200 OK") +
           "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n");
  WatchEnd(to, run);
  Stream(to, run, last.empty() ? 1 : std::stoi(last) + 1);
}

void soak_upstream::AnswerPlain(const scripted_upstream::received_request& to,
                                request_kind kind) {
  constexpr int kLongestWorkMs = 25;
  WriteLater(milliseconds(random_() % kLongestWorkMs), [to, kind] {
    const std::string id = to.head.headers.Get("X-Attempt-Id");
    const std::string body = ExpectedBody(kind, id);
    to.write(Head(id, "200 OK") + "Content-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body);
  });
}

void soak_upstream::Stream(const scripted_upstream::received_request& to,
                           size_t run, int next) {
  if (*to.closed) {
    return;
  }
  if (next > kStreamEvents) {
    seen_.runs[run].ended_at = SteadyNow();
    to.write("0\r\n\r\n");
    return;
  }
  to.write(Chunk(Event(to.head.headers.Get("X-Attempt-Id"), next)));
  WriteLater(kEventGap, [this, to, run, next] { Stream(to, run, next + 1); });
}

}  // namespace skylarkcroft::soak

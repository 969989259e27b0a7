// A sound engine or plain service, as PROTOCOL.md tells it: so many slots, a
// queue behind them, X-Not-Executed beyond it.
#ifndef REVIEW_COMMON_3_ENGINE_H_
#define REVIEW_COMMON_3_ENGINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "http.h"
#include "reactor.h"

namespace review {

struct engine_terms {
  std::string id;
  std::string service;
  std::string zone = "shubra";
  int slots = 6;
  int queue = 24;
  bool streams = false;
  ms work{15};  // Of a plain answer, or until the first event.
  int events = 0;
  ms gap{50};  // Between events.
};

struct run_seen {
  std::string request;
  std::string engine;
  steady::time_point begun;
  steady::time_point answered;
  bool whole = false;
};

class engine {
 public:
  engine(reactor& loop, engine_terms terms)
      : loop_(loop), terms_(std::move(terms)) {
    address_ = loop.Listen({}, [this](const link_ptr& from) { Accept(from); });
  }

  [[nodiscard]] std::string Entry() const {
    return nlohmann::json({{"service", terms_.service},
                           {"address", address_.Text()},
                           {"zone", terms_.zone},
                           {"version", "v1"},
                           {"slots", terms_.slots},
                           {"state", "ready"},
                           {"cold_remaining_ms", 0},
                           {"born", 1700000000000},
                           {"sequence_number", 1}})
        .dump();
  }
  [[nodiscard]] const std::string& id() const { return terms_.id; }
  [[nodiscard]] const std::vector<run_seen>& runs() const { return runs_; }
  [[nodiscard]] size_t declined() const { return declined_; }
  engine_terms& terms() { return terms_; }

 private:
  struct waiting {
    link_ptr from;
    message call;
  };

  void Accept(const link_ptr& from) {
    const std::weak_ptr<link> weak = from;
    from->on_change = [this, weak] {
      const link_ptr one = weak.lock();
      if (one == nullptr) {
        return;
      }
      message call;
      if (!one->closed() && TakeMessage(one->in, call) == parse_state::kWhole) {
        Handle(one, call);
      }
      if (one->ended) {
        one->Close();
      }
    };
  }

  void Handle(const link_ptr& from, const message& call) {
    if (call.Path() == "/health") {
      from->Write("HTTP/1.1 200 OK\r\nX-Instance-Id: " + terms_.id +
                  "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    if (call.Has("X-Expected-Instance") &&
        call.Get("X-Expected-Instance") != terms_.id) {
      from->Write("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " +
                  terms_.id + "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    if (running_ < terms_.slots) {
      Begin(from, call);
    } else if (static_cast<int>(queue_.size()) < terms_.queue) {
      queue_.push_back({from, call});
    } else {
      ++declined_;
      from->Write("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " +
                  call.Get("X-Attempt-Id") +
                  "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
  }

  void Begin(const link_ptr& from, const message& call) {
    ++running_;
    const size_t number = runs_.size();
    const std::string request = call.Get("X-Attempt-Id");
    runs_.push_back({request, terms_.id, steady::now(), {}, false});
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request +
                             "\r\nX-Response-Signature: s." + request +
                             "\r\nKeep-Alive: timeout=10\r\nX-Server-Load: " +
                             std::to_string(running_) + "," +
                             std::to_string(queue_.size()) + "," +
                             std::to_string(terms_.slots) + "\r\n";
    loop_.After(terms_.work, [this, from, head, request, number] {
      if (terms_.streams) {
        from->Write(head +
                    "Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
        Stream(from, number, 1);
        return;
      }
      const std::string body =
          "answer to " + request + "\n" + std::string(780, 'x');
      if (!from->closed()) {
        from->Write(head + "Content-Type: text/plain\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
        runs_[number].answered = steady::now();
        runs_[number].whole = true;
      }
      End();
    });
  }

  void Stream(const link_ptr& from, size_t number, int next) {
    if (from->closed() || from->ended) {
      End();
      return;
    }
    const std::string event = "id: " + std::to_string(next) + "\ndata: piece " +
                              std::to_string(next) + " of " +
                              runs_[number].request + "\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    from->Write(size.data() + event + "\r\n");
    if (next >= terms_.events) {
      from->Write("0\r\n\r\n");
      runs_[number].answered = steady::now();
      runs_[number].whole = true;
      End();
      return;
    }
    loop_.After(terms_.gap,
                [this, from, number, next] { Stream(from, number, next + 1); });
  }

  void End() {
    --running_;
    while (!queue_.empty() && running_ < terms_.slots) {
      const waiting next = std::move(queue_.front());
      queue_.pop_front();
      if (!next.from->closed()) {
        Begin(next.from, next.call);
      }
    }
  }

  reactor& loop_;
  engine_terms terms_;
  address address_;
  int running_ = 0;
  size_t declined_ = 0;
  std::deque<waiting> queue_;
  std::vector<run_seen> runs_;
};

}  // namespace review

#endif  // REVIEW_COMMON_3_ENGINE_H_

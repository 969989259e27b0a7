// The platform, the services, one relay and ordinary callers of a case, and
// what they saw.
#ifndef REVIEW_COMMON_3_WORLD_H_
#define REVIEW_COMMON_3_WORLD_H_

#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "engine.h"
#include "platform.h"
#include "relay.h"

namespace review {

inline constexpr const char* kHost = "callers.example";
inline constexpr const char* kKey = "k4mh72qpz0";

// A config with an unsafe, a safe and a streaming route and two tenants. The
// first has no allotment.
inline std::string Config() {
  using nlohmann::json;
  const auto route = [](const char* name, const char* prefix, const char* kind,
                        const char* service, int timeout, int attempts,
                        bool resumes) {
    return json{{"name", name},
                {"host", kHost},
                {"path_prefix", prefix},
                {"kind", kind},
                {"service", service},
                {"timeout_ms", timeout},
                {"attempts", attempts},
                {"priority", 1},
                {"target_latency_ms", 100},
                {"allow_anonymous", false},
                {"resume_streams", resumes}};
  };
  return json{
      {"version", 1},
      {"routes",
       {route("book", "/book/", "unsafe", "desk", 1000, 1, false),
        route("stock", "/stock/", "safe", "desk", 1000, 2, false),
        route("draft", "/draft/", "streaming", "pool", 15000, 2, true)}},
      {"services",
       {{{"name", "desk"},
         {"health_path", "/health"},
         {"connection_limit", 100}},
        {{"name", "pool"},
         {"health_path", "/health"},
         {"connection_limit", 360},
         {"engine", {{"slots", 64}, {"kv_cache_tokens", 631107}}}}}},
      {"limits",
       {{"header_bytes", 16384},
        {"body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       {{{"name", "hule"}, {"api_keys", {kKey}}, {"priority", 1}},
        {{"name", "fida"},
         {"api_keys", {"other-key"}},
         {"priority", 2},
         {"unit", "tokens"},
         {"plain_tokens", 200},
         {"rate_per_s", 362055},
         {"burst_size", 362055}}}}}
      .dump();
}

struct answer_seen {
  std::string request;
  std::string route;
  steady::time_point sent;
  steady::time_point ended;
  int status = 0;  // 0 where no answer came.
  bool whole = false;
  bool matches = false;  // The body is the engine's to this request.
};

struct caller_terms {
  std::string name;
  address to;
  std::string route;  // "book" or "stock".
  ms pause{100};      // Between an answer and the next request.
  ms budget{1000};
  int per_connection = 1000;  // Requests on a connection.
};

// Sends one request after the other on kept connections.
class caller {
 public:
  caller(reactor& loop, caller_terms terms, std::vector<answer_seen>& seen)
      : loop_(loop), terms_(std::move(terms)), seen_(seen) {}
  ~caller() {
    if (link_ != nullptr) {
      link_->Close();
    }
  }
  caller(const caller&) = delete;
  caller& operator=(const caller&) = delete;

  void Start(ms delay) {
    loop_.After(delay, [this] { Send(); });
  }
  void Stop() { stopped_ = true; }
  [[nodiscard]] bool busy() const { return busy_; }

 private:
  void Send() {
    if (stopped_) {
      return;
    }
    const bool used_up = on_connection_ >= terms_.per_connection;
    if (link_ == nullptr || link_->closed() || link_->ended || used_up) {
      Drop();
      on_connection_ = 0;
      link_ = loop_.Connect(terms_.to);
      link_->on_change = [this] { OnChange(); };
    }
    busy_ = true;
    ++on_connection_;
    const std::string id = terms_.name + "-" + std::to_string(++sent_);
    seen_.push_back({id, terms_.route, steady::now(), {}, 0, false, false});
    present_ = seen_.size() - 1;
    const bool posts = terms_.route == "book";
    const std::string body = posts ? std::string(600, 'b') : "";
    link_->Write(
        (posts ? "POST /" : "GET /") + terms_.route + "/1 HTTP/1.1\r\nHost: " +
        kHost + "\r\nX-Attempt-Id: " + id + "\r\nX-Remaining-Milliseconds: " +
        std::to_string(terms_.budget.count()) + "\r\nX-Key: " + kKey + "\r\n" +
        (posts ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
               : "") +
        "\r\n" + body);
    // The answer at the end of the time budget may be late.
    loop_.After(terms_.budget + ms(600), [this, id] {
      if (busy_ && seen_[present_].request == id) {
        End(0, false);
        Drop();
      }
    });
  }

  void OnChange() {
    message answer;
    if (busy_ && TakeMessage(link_->in, answer) == parse_state::kWhole) {
      seen_[present_].matches =
          answer.body.rfind("answer to " + seen_[present_].request + "\n", 0) ==
          0;
      End(answer.Status(), true);
    }
    if (link_->ended) {
      if (busy_) {
        End(0, false);
      }
      Drop();
    }
  }

  void End(int status, bool whole) {
    busy_ = false;
    answer_seen& now = seen_[present_];
    now.ended = steady::now();
    now.status = status;
    now.whole = whole;
    loop_.After(terms_.pause, [this] { Send(); });
  }

  void Drop() {
    if (link_ != nullptr) {
      link_->Close();
      link_ = nullptr;
    }
  }

  reactor& loop_;
  caller_terms terms_;
  std::vector<answer_seen>& seen_;
  link_ptr link_;
  size_t present_ = 0;
  int sent_ = 0;
  int on_connection_ = 0;
  bool busy_ = false;
  bool stopped_ = false;
};

// What a case writes for its reader; copied to record.txt in its folder.
class record {
 public:
  explicit record(const std::string& folder)
      : out_(folder + "/record.txt"), began_(steady::now()) {}

  [[nodiscard]] int64_t At(steady::time_point when) const {
    return std::chrono::duration_cast<ms>(when - began_).count();
  }
  void Line(const std::string& text) {
    out_ << text << "\n";
    out_.flush();
    std::cout << text << std::endl;
  }
  void Quiet(const std::string& text) { out_ << text << "\n"; }

  void Answers(const std::vector<answer_seen>& seen) {
    for (const answer_seen& one : seen) {
      Quiet("request " + one.request + " route " + one.route + " sent_ms " +
            std::to_string(At(one.sent)) + " ended_ms " +
            std::to_string(At(one.ended)) + " status " +
            std::to_string(one.status) + (one.whole ? " whole" : " cut") +
            (one.matches ? " own" : ""));
    }
  }
  void Runs(const engine& of) {
    for (const run_seen& one : of.runs()) {
      Quiet("run " + one.request + " at " + one.engine + " begun_ms " +
            std::to_string(At(one.begun)) + " answered_ms " +
            std::to_string(one.whole ? At(one.answered) : -1));
    }
  }

 private:
  std::ofstream out_;
  steady::time_point began_;
};

// A platform, four plain servers, `engines` engines and one relay.
struct small_world {
  explicit small_world(int engines = 0) : store(loop) {
    for (int i = 0; i < 4; ++i) {
      engine_terms terms;
      terms.id = "i-desk-" + std::to_string(i);
      terms.service = "desk";
      plain.push_back(std::make_unique<engine>(loop, terms));
      store.Put("servers", terms.id, plain.back()->Entry());
    }
    for (int i = 0; i < engines; ++i) {
      engine_terms terms;
      terms.id = "i-pool-" + std::to_string(i);
      terms.service = "pool";
      terms.slots = 64;
      terms.queue = 134;
      terms.streams = true;
      pool.push_back(std::make_unique<engine>(loop, terms));
      store.Put("servers", terms.id, pool.back()->Entry());
    }
    store.Put("op", "config", Config());
    relay_terms terms;
    terms.folder = folder.path();
    terms.store = store.at().Text();
    terms.cloud = store.at().Text();
    node = std::make_unique<relay>(terms);
  }

  void Start() {
    node->Start();
    if (!node->WaitReady(loop, ms(15000))) {
      GiveUp("the relay did not become ready");
    }
  }

  temporary_folder folder;
  reactor loop;
  platform store;
  std::vector<std::unique_ptr<engine>> plain;
  std::vector<std::unique_ptr<engine>> pool;
  std::unique_ptr<relay> node;
};

}  // namespace review

#endif  // REVIEW_COMMON_3_WORLD_H_

// Case 5: a prompt part that crashes engines stands behind sixteen others. The
// relays look at the first sixteen shared parts alone, so they never find it,
// and each request with it crashes one more engine.

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "review/common/platform.h"
#include "review/common/record.h"
#include "review/common/relay.h"

namespace review {
namespace {

using nlohmann::json;

constexpr int kMachines = 2;
constexpr int kEngines = 4;
constexpr int kSharedBefore = 16;
constexpr int kEvents = 10;
constexpr int64_t kEventGapMs = 20;
constexpr int64_t kReadyLimitMs = 15000;
constexpr int64_t kSettleMs = 3000;
constexpr int64_t kSpanMs = 30000;
constexpr int64_t kSoundGapMs = 50;
constexpr int64_t kDeadlyGapMs = 1500;
constexpr int64_t kDownMs = 2000;
constexpr int64_t kContactWindowMs = 3000;
constexpr size_t kCrashesBefore = 5;
constexpr int kMostLate = 3;
constexpr int kExitCannotRun = 2;
constexpr const char* kDeadlyPart = "dead0001";

// How many parts stand before the deadly one; 16 unless BEFORE says otherwise.
int PartsBefore() {
  const char* text = std::getenv("BEFORE");
  return text == nullptr ? kSharedBefore : std::atoi(text);
}

std::string Config() {
  return json{
      {"version", 1},
      {"routes",
       {{{"name", "r"},
         {"host", "shop.example"},
         {"path_prefix", "/chat/"},
         {"kind", "streaming"},
         {"timeout_ms", 12000},
         {"target_latency_ms", 500},
         {"service", "pool"},
         {"attempts", 1},
         {"resume_streams", false}}}},
      {"services",
       {{{"name", "pool"},
         {"health_path", "/health"},
         {"connection_limit", 360},
         {"engine", {{"slots", 64}, {"kv_cache_tokens", 600000}}}}}},
      {"limits", json::object()},
      {"tenants", {{{"name", "t"}, {"api_keys", {"k"}}, {"priority", 1}}}}}
      .dump();
}

// A sound engine, but for a part that ends its process as it begins to answer.
void ServeEngine(int fd, bool trouble) {
  connection client(fd);
  while (const std::optional<message> request = client.ReadRequest()) {
    client.Write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "X-Attempt-Id: " +
        request->Header("x-attempt-id") +
        "\r\n"
        "X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n");
    const bool deadly = request->Header("x-prompt-prefix").find(kDeadlyPart) !=
                        std::string::npos;
    for (int i = 1; i <= kEvents; ++i) {
      SleepMs(kEventGapMs);
      const std::string event = "id: " + std::to_string(i) + "\ndata: x\n\n";
      char size[16] = {};
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      client.Write(size + event + "\r\n");
      if (deadly && trouble) {
        kill(getpid(), SIGKILL);
      }
    }
    client.Write("0\r\n\r\n");
  }
}

int RunEngine(uint16_t port, bool trouble) {
  const server listening([trouble](int fd) { ServeEngine(fd, trouble); }, port);
  while (true) {
    pause();
  }
}

class engine {
 public:
  engine(std::string id, const char* self) : id_(std::move(id)), self_(self) {}

  void Start(platform& world, bool trouble) {
    const std::string port = std::to_string(port_);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() == parent) {
        execl(self_, self_, "engine", port.c_str(), trouble ? "1" : "0",
              static_cast<char*>(nullptr));
      }
      _exit(kExitCannotRun);
    }
    world.Put("servers", id_,
              json{{"service", "pool"},
                   {"address", "127.0.0.1:" + port},
                   {"zone", "a"},
                   {"version", "v1"},
                   {"slots", 64},
                   {"state", "ready"},
                   {"cold_remaining_ms", 0},
                   {"born", 1700000000000 + NowMs()},
                   {"sequence_number", ++number_}}
                  .dump());
  }
  /// Starts it again some time after its process has ended; returns whether it
  /// has just ended.
  bool Watch(platform& world, bool trouble) {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = 0;
      ended_at_ = NowMs();
      return true;
    }
    if (pid_ == 0 && NowMs() - ended_at_ >= kDownMs) {
      Start(world, trouble);
    }
    return false;
  }
  void Stop() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }
  [[nodiscard]] const std::string& id() const { return id_; }

 private:
  std::string id_;
  const char* self_;
  uint16_t port_ = FreePort();
  pid_t pid_ = 0;
  int64_t ended_at_ = 0;
  int64_t number_ = 0;
};

std::string Prefix(int number, bool deadly) {
  std::string prefix;
  const int before = PartsBefore();
  for (int i = 0; i < kSharedBefore; ++i) {
    if (deadly && i == before) {
      prefix += std::string(kDeadlyPart) + ":20,";
    }
    prefix += "aa" + std::to_string(10 + i) + ":20,";
  }
  if (deadly && before >= kSharedBefore) {
    prefix += std::string(kDeadlyPart) + ":20,";
  }
  return prefix + std::to_string(100000 + number) + ":100";
}

struct counts {
  std::mutex lock;
  int sound = 0;
  int sound_whole = 0;
  int sound_cut = 0;
};

// Sends one request on a connection of its own and reads its answer.
void Ask(uint16_t port, int number, bool deadly, counts& seen, record& log) {
  connection link(Connect(port));
  const std::string id = (deadly ? "dead" : "50ed") + std::to_string(number);
  const std::string body = "{\"n\":" + std::to_string(number) + "}";
  link.Write(
      "POST /chat/2f HTTP/1.1\r\nHost: shop.example\r\n"
      "X-Attempt-Id: " +
      id +
      "\r\nX-Model: m\r\n"
      "X-Token-Counts: 440,60\r\nX-Prompt-Prefix: " +
      Prefix(number, deadly) +
      "\r\nX-Remaining-Milliseconds: 12000\r\nX-Key: k\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
  const std::optional<message> answer = link.ReadResponse();
  const int status = answer.has_value() ? answer->Status() : 0;
  const bool whole = answer.has_value() && answer->whole;
  if (deadly) {
    log.Note("client: request " + id + " with the deadly part got " +
             std::to_string(status) + (whole ? "" : ", broken off"));
    return;
  }
  const std::lock_guard<std::mutex> guard(seen.lock);
  ++seen.sound;
  seen.sound_whole += status == 200 && whole ? 1 : 0;
  seen.sound_cut += status == 200 && !whole ? 1 : 0;
}

void SendFor(int64_t span, int64_t gap, bool deadly,
             const std::vector<uint16_t>& ports, counts& seen, record& log) {
  const int64_t until = NowMs() + span;
  for (int number = 0; NowMs() < until; ++number) {
    const uint16_t port = ports[static_cast<size_t>(number) % ports.size()];
    std::thread([port, number, deadly, &seen, &log] {
      Ask(port, number, deadly, seen, log);
    }).detach();
    SleepMs(gap);
  }
}

// The rule BUDGET, its clause on parts that crash engines. Each request with
// the part that reaches an engine ends it, so its ends tell the arrivals.
int Judge(const std::vector<int64_t>& crashes, record& log) {
  int late = 0;
  for (const int64_t at : crashes) {
    late += crashes.size() >= kCrashesBefore &&
                    at > crashes[kCrashesBefore - 1] + kContactWindowMs
                ? 1
                : 0;
  }
  log.Note(std::to_string(crashes.size()) + " engines crashed, " +
           std::to_string(late) + " of them later than " +
           std::to_string(kContactWindowMs) + " ms after the fifth crash");
  log.Note(late > kMostLate ? "rule BUDGET was broken" : "rule BUDGET held");
  return late > kMostLate ? 1 : 0;
}

std::vector<int64_t> WatchEngines(std::vector<engine>& engines, platform& world,
                                  bool trouble, record& log) {
  std::vector<int64_t> crashes;
  const int64_t until = NowMs() + kSpanMs + kSettleMs;
  while (NowMs() < until) {
    for (engine& one : engines) {
      if (one.Watch(world, trouble)) {
        log.Note("engine: " + one.id() + " crashed");
        crashes.push_back(NowMs());
      }
    }
    SleepMs(5);
  }
  return crashes;
}

int Run(const char* self, const std::string& folder, bool trouble) {
  // Not destroyed: threads of the stand-ins use them to the end.
  record& log = *new record("review/5/record.txt");
  platform& world = *new platform(log);
  counts& seen = *new counts();
  world.Put("op", "config", Config());
  std::vector<engine> engines;
  for (int i = 0; i < kEngines; ++i) {
    engines.emplace_back("i-" + std::to_string(i), self);
    engines.back().Start(world, trouble);
  }
  world.KeepEnginesBeating();
  std::vector<std::unique_ptr<relay>> machines;
  std::vector<uint16_t> ports;
  for (int i = 0; i < kMachines; ++i) {
    machines.push_back(std::make_unique<relay>(
        relay_terms{"frontend-" + std::to_string(i), folder, world.store_port(),
                    world.cloud_port()}));
    machines.back()->Start();
    ports.push_back(machines.back()->clients());
  }
  for (const std::unique_ptr<relay>& one : machines) {
    if (!one->WaitReady(kReadyLimitMs)) {
      log.Note("a machine does not get ready");
      return kExitCannotRun;
    }
  }
  std::thread([&, ports] {
    SendFor(kSpanMs + kSettleMs, kSoundGapMs, false, ports, seen, log);
  }).detach();
  std::thread([&, ports] {
    SleepMs(kSettleMs);
    SendFor(kSpanMs - kSettleMs, kDeadlyGapMs, true, ports, seen, log);
  }).detach();
  const std::vector<int64_t> crashes =
      WatchEngines(engines, world, trouble, log);
  for (engine& one : engines) {
    one.Stop();
  }
  {
    const std::lock_guard<std::mutex> guard(seen.lock);
    log.Note("sound requests: " + std::to_string(seen.sound) + ", whole " +
             std::to_string(seen.sound_whole) + ", broken off " +
             std::to_string(seen.sound_cut));
    if (seen.sound_whole == 0) {
      return kExitCannotRun;
    }
  }
  return Judge(crashes, log);
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  if (count > 3 && std::string(arguments[1]) == "engine") {
    return review::RunEngine(static_cast<uint16_t>(std::atoi(arguments[2])),
                             std::string(arguments[3]) == "1");
  }
  const char* trouble = std::getenv("TROUBLE");
  _exit(review::Run(arguments[0], arguments[1],
                    trouble == nullptr || std::string(trouble) != "0"));
}

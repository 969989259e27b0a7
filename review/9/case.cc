// Whole streams without a length or chunks, of a sound engine that resets
// connections beyond its limit while its queue is long.
#include "../common-2/world.h"

namespace {

using review::engine_process;
using review::engine_terms;
using review::kBroken;
using review::kHeld;
using review::kNotRun;
using review::message;
using review::NowMs;
using review::platform;
using review::record;
using review::relay_process;

constexpr int kEvents = 25;
constexpr int kGapMs = 80;
constexpr int kSlots = 8;
constexpr int kLimit = 60;
// Connections that other machines keep to the engine: within its limit, above
// the half of it that it allows while its queue is long.
constexpr int kOthers = 40;
constexpr int kRelays = 5;
// The rule: more than three times.
constexpr int kAllowed = 3;

void Sleep(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct caller {
  std::string id;
  std::unique_ptr<relay_process> relay;
  int fd = -1;
  std::optional<message> answer;
  std::thread reading;
};

// What other machines do: they keep connections, and send at the same moment.
class other_machines {
 public:
  ~other_machines() {
    for (const int fd : fds_) {
      close(fd);
    }
  }
  bool Connect(uint16_t port) {
    for (int i = 0; i < kOthers; ++i) {
      fds_.push_back(review::Connect(port));
      if (fds_.back() < 0) {
        return false;
      }
    }
    return true;
  }
  void Send() {
    int number = 0;
    for (const int fd : fds_) {
      review::SendAll(fd,
                      review::StreamRequest("x" + std::to_string(number++)));
    }
  }

 private:
  std::vector<int> fds_;
};

// A read first, so that the stream is on a kept connection.
bool Begin(caller& one) {
  one.fd = review::Connect(one.relay->clients());
  review::reader from(one.fd);
  review::SendAll(
      one.fd,
      review::RequestHead("GET", "/stock/x", "r" + one.id, 1000) + "\r\n");
  const std::optional<message> read =
      review::ReadMessage(from, NowMs() + 2000, true);
  if (!read.has_value() || read->status() != 200) {
    return false;
  }
  review::SendAll(one.fd, review::StreamRequest(one.id));
  return true;
}

bool StartRelays(std::vector<caller>& callers, const std::string& folder,
                 uint16_t platform_port) {
  for (size_t i = 0; i < callers.size(); ++i) {
    caller& one = callers[i];
    one.id = "a" + std::to_string(i);
    one.relay = std::make_unique<relay_process>("frontend-" + std::to_string(i),
                                                folder, platform_port);
    if (!one.relay->Start()) {
      return false;
    }
  }
  return std::all_of(callers.begin(), callers.end(), [](const caller& one) {
    return one.relay->WaitUntilReady(15000);
  });
}

// Reads the answers; broken where the engine had ended one that is not whole.
int Judge(std::vector<caller>& callers, engine_process& engine, record& log) {
  int lost = 0;
  bool lost_in_planned_work = false;
  for (caller& one : callers) {
    one.reading.join();
    const bool whole = one.answer.has_value() && one.answer->whole;
    const bool ended = engine.HasEnded(one.id);
    log.Line("client of " + one.id + ": " + review::Describe(one.answer) +
             (ended ? "; the engine had ended its answer" : ""));
    if (!whole && ended) {
      ++lost;
      lost_in_planned_work = lost_in_planned_work || &one == &callers[0];
    }
    close(one.fd);
  }
  const bool broken = lost > kAllowed || lost_in_planned_work;
  log.Line("connections that the engine reset: " +
           std::to_string(engine.resets()));
  log.Line((broken ? "broken: " : "held: ") + std::to_string(lost) +
           " answers that the engine had ended were broken off" +
           (lost_in_planned_work ? ", one in planned work" : ""));
  return broken ? kBroken : kHeld;
}

int Run(const std::string& folder) {
  record log(folder);
  const review::temporary_folder temporary;
  platform store;
  store.Put("op", "config", review::SmallConfig(1));
  engine_terms terms;
  terms.id = "i-pool";
  terms.slots = kSlots;
  terms.connection_limit = kLimit;
  terms.events = kEvents;
  terms.gap_ms = kGapMs;
  terms.unframed = true;
  terms.keep_alive_s = 30;
  engine_process engine(terms, log);
  terms.id = "i-desk";
  engine_process desk(terms, log);
  if (!engine.Start() || !desk.Start()) {
    return kNotRun;
  }
  store.Put("servers", engine.id(), engine.Entry("pool", "ready"));
  store.Put("servers", desk.id(), desk.Entry("desk", "ready"));
  std::vector<caller> callers(kRelays);
  if (!StartRelays(callers, temporary.path(), store.port())) {
    return kNotRun;
  }
  Sleep(1000);
  other_machines others;
  if (review::HasTrouble() && !others.Connect(engine.port())) {
    return kNotRun;
  }
  std::vector<std::string> ids;
  for (caller& one : callers) {
    if (!Begin(one)) {
      return kNotRun;
    }
    ids.push_back(one.id);
  }
  if (!engine.WaitForEvents(ids, 3, 5000)) {
    return kNotRun;
  }
  if (review::HasTrouble()) {
    log.Line(
        "the other machines send on their kept connections: the engine's "
        "queue is long");
    others.Send();
  }
  for (caller& one : callers) {
    one.reading = std::thread([&one] {
      review::reader from(one.fd);
      one.answer = review::ReadMessage(from, NowMs() + 10000, true);
    });
  }
  // Planned work at one machine.
  log.Line("SIGTERM to frontend-0");
  callers[0].relay->process().Signal(SIGTERM);
  return Judge(callers, engine, log);
}

}  // namespace

int main(int count, char** words) {
  if (review::RunAsEngine(count, words)) {
    return 0;
  }
  return count < 2 ? kNotRun : Run(words[1]);
}

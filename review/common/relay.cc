#include "review/common/relay.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace review {
namespace {

constexpr const char* kProgram = "target/src/skylarkcroft";
constexpr int64_t kPollMs = 20;
constexpr int kOk = 200;

std::string Address(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

relay::relay(const relay_terms& terms)
    : terms_(terms),
      clients_(FreePort()),
      readiness_(FreePort()),
      peers_(FreePort()),
      metrics_(FreePort()) {
  const nlohmann::json settings = {{"node", terms.name},
                                   {"availability_zone", "a"},
                                   {"first_start", true},
                                   {"listen",
                                    {{"clients", Address(clients_)},
                                     {"readiness", Address(readiness_)},
                                     {"peers", Address(peers_)},
                                     {"metrics", Address(metrics_)}}},
                                   {"store", Address(terms.store_port)},
                                   {"cloud", Address(terms.cloud_port)},
                                   {"bounds",
                                    {{"apply_deadline_ms", 2000},
                                     {"revocation_ms", 5000},
                                     {"strict_revocation", true},
                                     {"drain_ms", 2000},
                                     {"grace_period_ms", 8000},
                                     {"repeat_share", 0.2},
                                     {"repeat_window_ms", 10000},
                                     {"repeat_reserve", 54},
                                     {"allotment_overage_share", 0.1},
                                     {"allotment_overage_tokens", 140000},
                                     {"lease_ms", 3000},
                                     {"usage_window_ms", 5000},
                                     {"usage_lateness_ms", 10000}}}};
  std::ofstream(terms.folder + "/" + terms.name + ".json") << settings.dump(2);
}

void relay::Start() {
  const std::string settings = terms_.folder + "/" + terms_.name + ".json";
  const std::string log = terms_.folder + "/" + terms_.name + ".log";
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ != 0) {
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  if (getppid() == parent) {
    execl(kProgram, kProgram, "relay", "--settings", settings.c_str(),
          static_cast<char*>(nullptr));
  }
  _exit(127);
}

void relay::Signal(int number) const {
  if (pid_ > 0) {
    kill(pid_, number);
  }
}

void relay::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

bool relay::HasEnded() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = 0;
  }
  return pid_ == 0;
}

bool relay::WaitReady(int64_t limit_ms) const {
  const int64_t until = NowMs() + limit_ms;
  while (NowMs() < until) {
    connection link(Connect(readiness_));
    if (link.fd() >= 0 &&
        link.Write("GET /api/ready HTTP/1.1\r\nHost: ready\r\n"
                   "Connection: close\r\n\r\n")) {
      const std::optional<message> answer = link.ReadResponse();
      if (answer.has_value() && answer->Status() == kOk) {
        return true;
      }
    }
    SleepMs(kPollMs);
  }
  return false;
}

int64_t relay::MemoryKib() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      std::istringstream rest(line.substr(6));
      int64_t size = 0;
      rest >> size;
      return size;
    }
  }
  return 0;
}

}  // namespace review

// A relay as a process of its own, started with the command of the deploy file
// and settings like those of a small deployment.
#ifndef REVIEW_COMMON_3_RELAY_H_
#define REVIEW_COMMON_3_RELAY_H_

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>

#include "http.h"
#include "reactor.h"

namespace review {

struct relay_terms {
  std::string name = "frontend-shubra-1";
  std::string zone = "shubra";
  std::string folder;  // Temporary; settings and log go there.
  std::string store;   // ip:port
  std::string cloud;
  bool first_start = true;
};

// A port that is free for TCP and UDP at this moment.
inline uint16_t FreePort() {
  for (int i = 0; i < 50; ++i) {
    const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in raw = Raw({});
    socklen_t size = sizeof raw;
    bool free = bind(tcp, reinterpret_cast<sockaddr*>(&raw), size) == 0;
    getsockname(tcp, reinterpret_cast<sockaddr*>(&raw), &size);
    free = free && bind(udp, reinterpret_cast<sockaddr*>(&raw), size) == 0;
    close(tcp);
    close(udp);
    if (free) {
      return ntohs(raw.sin_port);
    }
  }
  GiveUp("no free port");
}

class relay {
 public:
  explicit relay(relay_terms terms)
      : terms_(std::move(terms)),
        front_{"127.0.0.1", FreePort()},
        ready_{"127.0.0.1", FreePort()},
        peers_{"127.0.0.1", FreePort()},
        metrics_{"127.0.0.1", FreePort()} {}
  ~relay() { Kill(); }
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  void Start() {
    const std::string path = terms_.folder + "/" + terms_.name + ".json";
    std::ofstream(path) << Settings();
    const std::string log = terms_.folder + "/" + terms_.name + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      // Ends with the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      execl("target/src/skylarkcroft", "target/src/skylarkcroft", "relay",
            "--settings", path.c_str(), nullptr);
      _exit(127);
    }
  }
  void Signal(int number) const {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }
  bool HasEnded() {
    if (pid_ > 0 && waitpid(pid_, &exit_status_, WNOHANG) == pid_) {
      pid_ = 0;
    }
    return pid_ == 0;
  }
  // Whether /api/ready is answered with 200 in time.
  bool WaitReady(reactor& loop, ms limit) {
    const steady::time_point end = steady::now() + limit;
    while (steady::now() < end) {
      const link_ptr ask = loop.Connect(ready_);
      ask->Write("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
      message answer;
      const bool answered = loop.RunUntil(
          [&] { return TakeMessage(ask->in, answer) == parse_state::kWhole; },
          ms(300));
      ask->Close();
      if (answered && answer.Status() == 200) {
        return true;
      }
      loop.RunFor(ms(50));
    }
    return false;
  }
  // A figure of /proc/PID/status in kB, such as VmRSS or VmHWM.
  [[nodiscard]] int64_t StatusKb(const std::string& figure) const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.rfind(figure + ":", 0) == 0) {
        return std::atoll(line.c_str() + figure.size() + 1);
      }
    }
    return -1;
  }
  // Processor time used, in ms.
  [[nodiscard]] int64_t ProcessorMs() const {
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::string item;
    int64_t ticks = 0;
    for (int i = 0; i < 13 && rest >> item; ++i) {
      ticks += i >= 11 ? std::atoll(item.c_str()) : 0;
    }
    return ticks * 1000 / sysconf(_SC_CLK_TCK);
  }

  [[nodiscard]] const address& front() const { return front_; }
  [[nodiscard]] const std::string& name() const { return terms_.name; }
  [[nodiscard]] pid_t pid() const { return pid_; }

 private:
  [[nodiscard]] std::string Settings() const {
    return R"({"node": ")" + terms_.name + R"(", "availability_zone": ")" +
           terms_.zone + R"(", "first_start": )" +
           (terms_.first_start ? "true" : "false") +
           R"(, "listen": {"clients": ")" + front_.Text() +
           R"(", "readiness": ")" + ready_.Text() + R"(", "peers": ")" +
           peers_.Text() + R"(", "metrics": ")" + metrics_.Text() +
           R"("}, "store": ")" + terms_.store + R"(", "cloud": ")" +
           terms_.cloud +
           R"(", "memory_mb": 260, "file_descriptors": 4100, "bounds": {
"apply_deadline_ms": 2000, "revocation_ms": 5000, "strict_revocation": true,
"drain_ms": 2000, "grace_period_ms": 8000, "repeat_share": 0.2,
"repeat_window_ms": 10000, "repeat_reserve": 54,
"allotment_overage_share": 0.1, "allotment_overage_tokens": 140000,
"lease_ms": 3000, "usage_window_ms": 5000, "usage_lateness_ms": 10000}})";
  }

  relay_terms terms_;
  address front_;
  address ready_;
  address peers_;
  address metrics_;
  pid_t pid_ = 0;
  int exit_status_ = 0;
};

// A folder that goes with this object.
class temporary_folder {
 public:
  temporary_folder() {
    std::string path =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr) {
      GiveUp("no temporary folder");
    }
    path_ = path;
  }
  ~temporary_folder() {
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(path_, ignored);
    }
  }
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review

#endif  // REVIEW_COMMON_3_RELAY_H_

// What a case starts: the relay by the command of the deploy file, engines as
// processes, and the record of what was sent, answered and run.
#ifndef REVIEW_COMMON_2_WORLD_H_
#define REVIEW_COMMON_2_WORLD_H_

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "engine.h"
#include "net.h"
#include "platform.h"

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

inline bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// record.txt in the folder of the case.
class record {
 public:
  explicit record(const std::string& folder)
      : out_(folder + "/record.txt"), start_(NowMs()) {}

  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ",
                  static_cast<double>(NowMs() - start_) / 1000);
    out_ << time << text << "\n";
    out_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  int64_t start_;
};

/// A process that this one started; killed and reaped at the end.
class child {
 public:
  child() = default;
  ~child() { Kill(); }
  child(const child&) = delete;
  child& operator=(const child&) = delete;

  /// `out` becomes the standard output and error; it is closed here.
  bool Start(const std::vector<std::string>& command, int out) {
    std::vector<char*> words;
    for (const std::string& word : command) {
      words.push_back(const_cast<char*>(word.c_str()));
    }
    words.push_back(nullptr);
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      execv(words[0], words.data());
      _exit(127);
    }
    close(out);
    return pid_ > 0;
  }
  void Signal(int number) const {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      kill(pid_, SIGCONT);
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }
  /// Waits for its end; false if it still runs then.
  bool WaitForEnd(int limit_ms) {
    const int64_t until = NowMs() + limit_ms;
    while (pid_ > 0 && NowMs() < until) {
      if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = 0;
        break;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return pid_ == 0;
  }
  [[nodiscard]] pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = 0;
};

/// An engine process and what it has written.
class engine_process {
 public:
  engine_process(engine_terms terms, record& into)
      : terms_(std::move(terms)), record_(into) {}
  ~engine_process() {
    child_.Kill();
    if (reading_.joinable()) {
      reading_.join();
    }
  }

  /// On a free port, or on that of a process before.
  bool Start(uint16_t port = 0) {
    terms_.port = port;
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) {
      return false;
    }
    if (!child_.Start(
            {"/proc/self/exe", "engine", terms_.id,
             std::to_string(terms_.slots),
             std::to_string(terms_.connection_limit),
             std::to_string(terms_.events), std::to_string(terms_.gap_ms),
             std::to_string(terms_.event_bytes), terms_.unframed ? "1" : "0",
             std::to_string(terms_.work_ms),
             std::to_string(terms_.keep_alive_s), std::to_string(terms_.port)},
            ends[1])) {
      return false;
    }
    reading_ = std::thread([this, fd = ends[0]] { Read(fd); });
    return WaitFor([this] { return port_ != 0; }, 5000);
  }

  /// The entry that the engine writes of itself.
  [[nodiscard]] nlohmann::json Entry(const std::string& service,
                                     const std::string& state) const {
    return {{"service", service},
            {"address", "127.0.0.1:" + std::to_string(port_)},
            {"zone", "shubra"},
            {"version", "v1"},
            {"slots", terms_.slots},
            {"state", state},
            {"cold_remaining_ms", 0},
            {"stage", "both"},
            {"models",
             {{{"name", "m"},
               {"version", 1},
               {"adapters", nlohmann::json::array()}}}},
            {"sequence_number", 1},
            {"born", born_}};
  }

  bool WaitFor(const std::function<bool()>& holds, int limit_ms) {
    const int64_t until = NowMs() + limit_ms;
    while (NowMs() < until) {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (holds()) {
          return true;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return false;
  }
  /// Waits until it has made so many events for each of the requests.
  bool WaitForEvents(const std::vector<std::string>& ids, int count,
                     int limit_ms) {
    return WaitFor(
        [&] {
          return std::all_of(ids.begin(), ids.end(), [&](const auto& id) {
            return events_[id] >= count;
          });
        },
        limit_ms);
  }
  /// Events that the engine has made for the request.
  int events(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return events_[id];
  }
  bool HasEnded(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return ended_.count(id) != 0;
  }
  int runs(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_[id];
  }
  int resets() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return resets_;
  }

  child& process() { return child_; }
  [[nodiscard]] uint16_t port() const { return port_; }
  [[nodiscard]] const std::string& id() const { return terms_.id; }

 private:
  void Read(int fd) {
    FILE* lines = fdopen(fd, "r");
    char text[512];
    while (std::fgets(text, sizeof text, lines) != nullptr) {
      std::istringstream words(text);
      std::string what;
      std::string id;
      int number = 0;
      words >> what >> id >> number;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (what == "port") {
          port_ = static_cast<uint16_t>(std::atoi(id.c_str()));
        } else if (what == "run") {
          ++runs_[id];
        } else if (what == "event") {
          events_[id] = number;
        } else if (what == "end") {
          ended_.insert(id);
        } else if (what == "reset") {
          ++resets_;
        }
      }
      if (what != "event") {
        std::string line = text;
        line.pop_back();
        record_.Line("engine " + terms_.id + ": " + line);
      }
    }
    std::fclose(lines);
  }

  engine_terms terms_;
  record& record_;
  child child_;
  std::thread reading_;
  std::mutex mutex_;
  std::atomic<uint16_t> port_{0};
  int64_t born_ = 1700000000000 + NowMs();
  std::map<std::string, int> events_;
  std::map<std::string, int> runs_;
  std::set<std::string> ended_;
  int resets_ = 0;
};

/// A relay, started with the command of the deploy file.
class relay_process {
 public:
  relay_process(std::string name, std::string folder, uint16_t platform_port)
      : name_(std::move(name)),
        folder_(std::move(folder)),
        clients_(FreePort()),
        readiness_(FreePort()) {
    const auto address = [](uint16_t port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    // As deploy/settings.json.template gives it for the small site.
    const nlohmann::json settings = {{"node", name_},
                                     {"availability_zone", "shubra"},
                                     {"first_start", true},
                                     {"listen",
                                      {{"clients", address(clients_)},
                                       {"readiness", address(readiness_)},
                                       {"peers", address(FreePort())},
                                       {"metrics", address(FreePort())}}},
                                     {"store", address(platform_port)},
                                     {"cloud", address(platform_port)},
                                     {"memory_mb", 260},
                                     {"file_descriptors", 4100},
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
    std::ofstream(SettingsPath()) << settings.dump(2);
  }

  bool Start() {
    const int log = open((folder_ + "/" + name_ + ".log").c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const std::string program = "target/src/skylarkcroft";
    if (access(program.c_str(), X_OK) != 0) {
      return false;
    }
    return child_.Start({program, "relay", "--settings", SettingsPath()}, log);
  }

  /// Status of the readiness address; 0 if there is no answer in time.
  [[nodiscard]] int Readiness(int limit_ms = 1000) const {
    const int fd = Connect(readiness_, limit_ms);
    if (fd < 0) {
      return 0;
    }
    SendAll(fd, "GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n");
    reader from(fd);
    const std::optional<message> answer =
        ReadMessage(from, NowMs() + limit_ms, true);
    close(fd);
    return answer.has_value() ? answer->status() : 0;
  }
  bool WaitUntilReady(int limit_ms) const {
    const int64_t until = NowMs() + limit_ms;
    while (NowMs() < until) {
      if (Readiness() == 200) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }

  child& process() { return child_; }
  [[nodiscard]] uint16_t clients() const { return clients_; }
  [[nodiscard]] std::string SettingsPath() const {
    return folder_ + "/" + name_ + ".json";
  }

 private:
  std::string name_;
  std::string folder_;
  uint16_t clients_;
  uint16_t readiness_;
  child child_;
};

/// A folder that goes with the case.
class temporary_folder {
 public:
  temporary_folder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) != nullptr) {
      path_ = name;
    }
  }
  ~temporary_folder() {
    const char* keep = std::getenv("KEEP");
    std::error_code ignored;
    if (!path_.empty() && keep == nullptr) {
      std::filesystem::remove_all(path_, ignored);
    } else {
      std::printf("%s\n", path_.c_str());
    }
  }
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

inline nlohmann::json Route(const std::string& name, const std::string& path,
                            const std::string& kind, const std::string& service,
                            int timeout_ms, int attempts, bool resumes) {
  nlohmann::json route = {{"name", name},
                          {"host", "wood.example"},
                          {"path_prefix", path},
                          {"kind", kind},
                          {"timeout_ms", timeout_ms},
                          {"target_latency_ms", 500},
                          {"priority", 0},
                          {"service", service},
                          {"attempts", attempts},
                          {"allow_anonymous", false},
                          {"sticky_sessions", kind == "streaming"},
                          {"resume_streams", resumes}};
  if (kind == "streaming") {
    route["target_gap_ms"] = 600;
  }
  return route;
}

/// The config of a small site: streams that are not resumed (customer-reply),
/// streams that are (route-sheet), and the requests of the plain service.
inline nlohmann::json SmallConfig(int version) {
  using nlohmann::json;
  return {{"version", version},
          {"routes",
           {Route("customer-reply", "/stream/", "streaming", "pool", 12000, 1,
                  false),
            Route("route-sheet", "/stream-on/", "streaming", "pool", 15000, 2,
                  true),
            Route("book-load", "/book/", "unsafe", "desk", 1000, 1, false),
            Route("stock-check", "/stock/", "safe", "desk", 1000, 2, false)}},
          {"services",
           {{{"name", "pool"},
             {"health_path", "/health"},
             {"connection_limit", 360},
             {"protocol", "h1"},
             {"use_tls", false},
             {"engine", {{"slots", 64}, {"kv_cache_tokens", 631107}}}},
            {{"name", "desk"},
             {"health_path", "/health"},
             {"connection_limit", 100},
             {"protocol", "h1"},
             {"use_tls", false}}}},
          {"limits",
           {{"header_bytes", 16384},
            {"body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants",
           {{{"name", "hule930"},
             {"api_keys", {"i9n73hh2b9wu3fexd9dn"}},
             {"priority", 1},
             {"rate_per_s", 0},
             {"burst_size", 0}}}}};
}

inline std::string RequestHead(const std::string& method,
                               const std::string& target, const std::string& id,
                               int remaining_ms) {
  return method + " " + target +
         " HTTP/1.1\r\nHost: wood.example\r\nX-Attempt-Id: " + id +
         "\r\nX-Remaining-Milliseconds: " + std::to_string(remaining_ms) +
         "\r\nX-Key: i9n73hh2b9wu3fexd9dn\r\n";
}

inline std::string StreamRequest(const std::string& id,
                                 const std::string& path = "/stream/a") {
  return RequestHead("POST", path, id, 12000) +
         "X-Model: m\r\nX-Token-Counts: 628,120\r\nX-Prompt-Prefix: 5c1e07a2:"
         "119,91bd3f06:79," +
         id + ":430\r\nContent-Length: 2\r\n\r\nhi";
}

/// Number of whole events in a stream's body.
inline int CountEvents(const std::string& body) {
  int events = 0;
  for (size_t at = body.find("\n\n"); at != std::string::npos;
       at = body.find("\n\n", at + 2)) {
    ++events;
  }
  return events;
}

inline std::string Describe(const std::optional<message>& answer) {
  if (!answer.has_value()) {
    return "no answer";
  }
  return "status " + std::to_string(answer->status()) +
         (answer->whole ? ", whole" : ", broken off") + ", " +
         std::to_string(answer->body.size()) + " bytes, " +
         std::to_string(CountEvents(answer->body)) + " events";
}

/// Runs as an engine if the command line says so.
inline bool RunAsEngine(int count, char** words) {
  if (count < 12 || std::string(words[1]) != "engine") {
    return false;
  }
  engine_terms terms;
  terms.id = words[2];
  terms.slots = std::atoi(words[3]);
  terms.connection_limit = std::atoi(words[4]);
  terms.events = std::atoi(words[5]);
  terms.gap_ms = std::atoi(words[6]);
  terms.event_bytes = std::atoi(words[7]);
  terms.unframed = std::string(words[8]) == "1";
  terms.work_ms = std::atoi(words[9]);
  terms.keep_alive_s = std::atoi(words[10]);
  terms.port = static_cast<uint16_t>(std::atoi(words[11]));
  engine(terms).Run();
  return true;
}

}  // namespace review

#endif  // REVIEW_COMMON_2_WORLD_H_

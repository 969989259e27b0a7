#include "tests/client_pressure/pressure_world.h"

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <list>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_socket_address.h"
#include "tests/adapter/platform_standin.h"
#include "tests/relay/scripted_upstream.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kLoopTurn{20};
constexpr milliseconds kStartLimit{20000};
constexpr int kUpstreams = 4;
constexpr int kSlots = 1000;
constexpr size_t kEventBytes = 4096;

nlohmann::json Route(const std::string& path, const std::string& kind) {
  return {{"name", path},  {"host", "shop"},         {"path_prefix", path},
          {"kind", kind},  {"timeout_ms", 20000},    {"service", "desk"},
          {"attempts", 1}, {"resume_streams", false}};
}

std::string Tables(size_t body_bytes) {
  return nlohmann::json{
      {"version", 1},
      {"routes",
       {Route("/plain/", "safe"), Route("/large/", "safe"),
        Route("/stream/", "streaming"), Route("/open-body/", "safe"),
        Route("/open-event/", "streaming")}},
      {"services", {{{"name", "desk"}, {"health_path", "/health"}}}},
      {"limits",
       {{"header_bytes", 16384},
        {"body_bytes", body_bytes},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants", {{{"name", "w"}, {"api_keys", {"k"}}}}}}
      .dump();
}

std::string Entry(const endpoint& address) {
  return nlohmann::json{{"service", "desk"}, {"address", ToString(address)},
                        {"zone", "a"},       {"slots", kSlots},
                        {"state", "ready"},  {"born", 1}}
      .dump();
}

void Answer(const scripted_upstream::received_request& to) {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
                           to.head.headers.Get("X-Attempt-Id") +
                           "\r\nX-Response-Signature: s\r\n";
  if (to.head.target.starts_with("/stream/")) {
    const std::string event = "data: " + std::string(kEventBytes, 'x') + "\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    to.write(head +
             "Content-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
    for (size_t at = 0; at < pressure_world::kStreamBytes; at += kEventBytes) {
      to.write(size.data() + event + "\r\n");
    }
    to.write("0\r\n\r\n");
    return;
  }
  const bool open_event = to.head.target.starts_with("/open-event/");
  if (open_event || to.head.target.starts_with("/open-body/")) {
    to.write(head +
             (open_event ? "Content-Type: text/event-stream\r\n\r\ndata: "
                         : "\r\n") +
             std::string(pressure_world::kOpenBytes, 'x'));
    return;
  }
  const bool large = to.head.target.starts_with("/large/");
  const std::string body(large ? pressure_world::kLargeBytes : 2, 'x');
  to.write(head + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body);
}

/// Sends an ordinary request on a connection of its own; returns the answer's
/// first bytes, or nothing if there is no answer.
std::string AskOnce(const endpoint& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{2, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in peer = ToSocketAddress(address);
  const std::string request =
      "POST /plain/a HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: ordinary\r\n"
      "X-Remaining-Milliseconds: 2000\r\nX-Key: k\r\nContent-Length: 2\r\n\r\n"
      "hi";
  std::array<char, 64> start{};
  ssize_t size = 0;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0 &&
      send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0) {
    size = recv(fd, start.data(), start.size(), 0);
  }
  close(fd);
  return {start.data(), static_cast<size_t>(std::max<ssize_t>(size, 0))};
}

}  // namespace

pressure_world::pressure_world(const pressure_terms& terms) : terms_(terms) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "client-pressure-XXXXXX")
          .string();
  REQUIRE(mkdtemp(folder.data()) != nullptr);
  folder_ = folder;
  thread_ = std::thread([this] { Serve(); });
  while (platform_port_ == 0) {
    std::this_thread::sleep_for(kLoopTurn);
  }
  relay_ = std::make_unique<soak::relay_program>(soak::relay_program_terms{
      SKYLARKCROFT_PROGRAMS "/src/skylarkcroft", folder_, "node", "a",
      endpoint{"127.0.0.1", platform_port_}, terms.memory_mb,
      terms.file_descriptors});
  relay_->Start();
  if (terms.file_descriptors > 0) {
    const auto most = static_cast<rlim_t>(terms.file_descriptors);
    const rlimit limit{most, most};
    REQUIRE(prlimit(relay_->pid(), RLIMIT_NOFILE, &limit, nullptr) == 0);
  }
  REQUIRE(IsServed(kStartLimit));
}

pressure_world::~pressure_world() {
  relay_.reset();
  stopping_ = true;
  thread_.join();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void pressure_world::Serve() {
  event_loop loop;
  platform_standin platform(loop);
  std::list<scripted_upstream> upstreams;
  platform.Put("op", "config", Tables(terms_.body_bytes));
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams.emplace_back(loop).SetHandler(Answer);
    platform.Put("servers", "desk" + std::to_string(i),
                 Entry(upstreams.back().address()));
  }
  platform_port_ = platform.address().port;
  while (!stopping_) {
    loop.RunFor(kLoopTurn);
    for (scripted_upstream& one : upstreams) {
      one.requests.clear();
    }
  }
}

bool pressure_world::IsServed(milliseconds limit) const {
  const time_point end = SteadyNow() + limit;
  while (SteadyNow() < end) {
    if (AskOnce(relay_->clients()).starts_with("HTTP/1.1 200")) {
      return true;
    }
    std::this_thread::sleep_for(10 * kLoopTurn);
  }
  return false;
}

void pressure_world::Settle() const {
  constexpr milliseconds kQuiet{2000};
  constexpr milliseconds kLimit{20000};
  const time_point start = SteadyNow();
  time_point grown_at = start;
  int64_t peak_kib = PeakKib();
  while (SteadyNow() - grown_at < kQuiet && SteadyNow() - start < kLimit) {
    std::this_thread::sleep_for(kLoopTurn);
    const int64_t now_kib = PeakKib();
    if (now_kib > peak_kib) {
      peak_kib = now_kib;
      grown_at = SteadyNow();
    }
  }
}

int64_t pressure_world::StatusKib(const std::string& member) const {
  std::ifstream status("/proc/" + std::to_string(relay_->pid()) + "/status");
  std::string word;
  int64_t kib = 0;
  while (status >> word) {
    if (word == member) {
      status >> kib;
      break;
    }
  }
  return kib;
}

size_t pressure_world::OpenDescriptors() const {
  const std::filesystem::directory_iterator open(
      "/proc/" + std::to_string(relay_->pid()) + "/fd");
  return static_cast<size_t>(std::distance(begin(open), end(open)));
}

}  // namespace skylarkcroft

// Case 5: a machine that watches the table of engines tells the others of
// changes as if none lay before them, although it had some of those before from
// a peer alone. Machines that lack these skip them for good, and go on sending
// to engines that have said that they leave.

#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "review/common/platform.h"
#include "review/common/record.h"
#include "review/common/relay.h"

namespace review {
namespace {

using nlohmann::json;

constexpr int kMachines = 7;
constexpr int kStaying = 16;
constexpr int kLeaving = 8;
constexpr int kWaves = 4;
constexpr int64_t kReadyLimitMs = 15000;
constexpr int64_t kSettleMs = 2500;
constexpr int64_t kBetweenMs = 12;
// The engines of a zone are gone this long after their notice.
constexpr int64_t kServesMs = 2900;
constexpr int64_t kDrainMs = 2000;
constexpr int64_t kRequestGapMs = 25;
// The store answers one of the two watching machines this much later; 4 ms is
// what the site's store takes.
constexpr int64_t kSlowAnswerMs = 3;
constexpr int kOk = 200;
constexpr int kExitCannotRun = 2;

std::string Config() {
  return json{
      {"version", 1},
      {"routes",
       {{{"name", "r"},
         {"host", "shop.example"},
         {"path_prefix", "/stock/"},
         {"kind", "safe"},
         {"timeout_ms", 2000},
         {"service", "desk"},
         {"attempts", 1}}}},
      {"services",
       {{{"name", "desk"},
         {"health_path", "/health"},
         {"connection_limit", 100}}}},
      {"limits", json::object()},
      {"tenants", {{{"name", "t"}, {"api_keys", {"k"}}, {"priority", 1}}}}}
      .dump();
}

struct engine {
  std::string id;
  std::unique_ptr<server> listening;
  std::atomic<int64_t> confirmed_at{0};
  std::atomic<int> late{0};
};

std::string Entry(const engine& one, const std::string& zone,
                  const std::string& state) {
  json adapters = json::array();
  for (int i = 0; i < 12; ++i) {
    adapters.push_back("adapter-of-a-tenant-" + std::to_string(i));
  }
  json entry = {
      {"service", "desk"},
      {"address", "127.0.0.1:" + std::to_string(one.listening->port())},
      {"zone", zone},
      {"use_spot", true},
      {"version", "v1"},
      {"slots", 6},
      {"state", state},
      {"cold_remaining_ms", 0},
      {"stage", "both"},
      {"models", {{{"name", "m"}, {"version", 1}, {"adapters", adapters}}}},
      {"born", 1700000000000},
      {"sequence_number", 4}};
  if (state == "draining") {
    entry["leaves_ms"] = kServesMs;
  }
  return entry.dump();
}

void Serve(int fd, engine& one, record& log) {
  connection client(fd);
  while (const std::optional<message> request = client.ReadRequest()) {
    const int64_t confirmed = one.confirmed_at;
    const int64_t now = NowMs();
    if (confirmed > 0 && now > confirmed + kDrainMs) {
      ++one.late;
      log.Note("BROKEN: " + one.id + " gets " +
               request->Header("x-attempt-id") + " " +
               std::to_string(now - confirmed) +
               " ms after the store has confirmed that it leaves");
    }
    SleepMs(15);
    client.Write(Response(kOk,
                          "X-Attempt-Id: " + request->Header("x-attempt-id") +
                              "\r\nX-Response-Signature: 3e1b.07\r\n",
                          std::string(800, 'y')));
  }
}

engine& AddEngine(platform& world, const std::string& id,
                  const std::string& zone, record& log) {
  auto* const one = new engine();
  one->id = id;
  one->listening =
      std::make_unique<server>([one, &log](int fd) { Serve(fd, *one, log); });
  world.Put("servers", id, Entry(*one, zone, "ready"));
  return *one;
}

void Load(uint16_t port, const std::string& name) {
  std::thread([port, name] {
    for (int64_t number = 0;; ++number) {
      std::thread([port, name, number] {
        connection link(Connect(port));
        link.Write(
            "GET /stock/2f HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Attempt-Id: " +
            name + "x" + std::to_string(number) +
            "\r\nX-Remaining-Milliseconds: 1000\r\nX-Key: k\r\n"
            "Connection: close\r\n\r\n");
        link.ReadResponse();
      }).detach();
      SleepMs(kRequestGapMs);
    }
  }).detach();
}

int Wave(platform& world, int wave, bool trouble, record& log) {
  std::vector<engine*> leaving;
  leaving.reserve(kLeaving);
  for (int i = 0; i < kLeaving; ++i) {
    leaving.push_back(&AddEngine(
        world, "w" + std::to_string(wave) + "-" + std::to_string(i), "a", log));
  }
  SleepMs(kSettleMs);
  if (trouble) {
    for (engine* one : leaving) {
      world.Put("servers", one->id, Entry(*one, "a", "draining"));
      one->confirmed_at = NowMs();
      SleepMs(kBetweenMs);
    }
  }
  SleepMs(kServesMs);
  int late = 0;
  for (engine* one : leaving) {
    world.Remove("servers", one->id);
    late += one->late;
    one->confirmed_at = 0;
  }
  SleepMs(1000);
  return late;
}

// The machines that watch the table of engines for all, by their numbers.
std::vector<size_t> FindWatching(
    const std::vector<platform::store_path*>& paths) {
  for (platform::store_path* path : paths) {
    path->watches = 0;
  }
  SleepMs(kSettleMs);
  std::vector<size_t> watching;
  for (size_t i = 0; i < paths.size(); ++i) {
    if (paths[i]->watches > 1) {
      watching.push_back(i);
    }
  }
  return watching;
}

int Run(const std::string& folder, bool trouble) {
  record& log = *new record("review/5/record.txt");
  platform& world = *new platform(log);
  world.Put("op", "config", Config());
  for (int i = 0; i < kStaying; ++i) {
    AddEngine(world, "stay-" + std::to_string(i),
              std::string(1, static_cast<char>('b' + i % 3)), log);
  }
  std::vector<platform::store_path*> paths;
  std::vector<std::unique_ptr<relay>> machines;
  for (int i = 0; i < kMachines; ++i) {
    paths.push_back(&world.OpenPath());
    machines.push_back(std::make_unique<relay>(
        relay_terms{"front-" + std::to_string(i), folder,
                    paths.back()->entry->port(), world.cloud_port()}));
    machines.back()->Start();
  }
  for (const std::unique_ptr<relay>& one : machines) {
    if (!one->WaitReady(kReadyLimitMs)) {
      log.Note("a machine does not get ready");
      return kExitCannotRun;
    }
  }
  SleepMs(kSettleMs);
  const std::vector<size_t> watching = FindWatching(paths);
  if (watching.size() != 2) {
    log.Note("not two machines watch");
    return kExitCannotRun;
  }
  log.Note("watching: " + machines[watching[0]]->name() + ", " +
           machines[watching[1]]->name());
  paths[watching[0]]->delay_ms = kSlowAnswerMs;
  for (const std::unique_ptr<relay>& one : machines) {
    Load(one->clients(), one->name());
  }
  int late = 0;
  for (int wave = 0; wave < kWaves; ++wave) {
    late += Wave(world, wave, trouble, log);
  }
  log.Note(std::to_string(late) + " late requests");
  log.Note(late > 0 ? "rule DRAIN was broken" : "rule DRAIN held");
  return late > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int /*count*/, char** arguments) {
  const char* trouble = std::getenv("TROUBLE");
  _exit(review::Run(arguments[1],
                    trouble == nullptr || std::string(trouble) != "0"));
}

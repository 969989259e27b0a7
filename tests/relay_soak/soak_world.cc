#include "tests/relay_soak/soak_world.h"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <utility>

namespace skylarkcroft::soak {
namespace {

constexpr int kPercent = 100;
constexpr int kPlainUpstreams = 3;
constexpr int kEngines = 4;
constexpr size_t kKeysKept = 2;
// The bound within which a leaving upstream serves, and a little longer.
constexpr milliseconds kServesLeaving{2600};
constexpr milliseconds kEndCheck{50};
// A pause is longer than the silence after which the relay seeks another
// upstream, and ends before the timeout of the routes.
constexpr int kShortestPauseMs = 1300;
constexpr int kLongestPauseMs = 1900;
constexpr milliseconds kBetweenPauses{400};
constexpr int kDeclinedWhilePausedPercent = 40;

nlohmann::json Route(const std::string& path, const std::string& kind,
                     const std::string& service, bool resumable) {
  return {{"name", path},        {"host", "shop"},
          {"path_prefix", path}, {"kind", kind},
          {"timeout_ms", 2500},  {"service", service},
          {"attempts", 2},       {"resume_streams", resumable}};
}

}  // namespace

soak_world::soak_world(const soak_terms& terms)
    : terms_(terms),
      random_(terms.seed),
      pause_random_(terms.seed),
      platform_(loop_),
      started_at_(SteadyNow()) {
  seen_.planned_only = terms.planned_only;
  PutTables();
  for (int i = 0; i < kPlainUpstreams; ++i) {
    AddUpstream("desk");
  }
  for (int i = 0; i < kEngines; ++i) {
    AddUpstream("pool");
  }
  for (size_t i = 0; i < terms.nodes; ++i) {
    node made;
    made.platform =
        std::make_unique<loopback_proxy>(loop_, platform_.address());
    made.program = std::make_unique<relay_program>(relay_program_terms{
        terms.program, terms.folder, "node-" + std::to_string(i), "a",
        made.platform->address()});
    made.program->Start();
    nodes_.push_back(std::move(made));
  }
}

milliseconds soak_world::Span(int least_ms, int most_ms) {
  return milliseconds(least_ms +
                      static_cast<int>(random_() % (most_ms - least_ms + 1)));
}

bool soak_world::Chance(int percent) {
  return static_cast<int>(random_() % kPercent) < percent;
}

void soak_world::Later(milliseconds delay, std::function<void()> call) {
  timers_.push_back(loop_.After(delay, std::move(call)));
}

void soak_world::Note(const std::string& what, const std::string& whom,
                      milliseconds span) {
  const time_point now = SteadyNow();
  seen_.disturbances.push_back({whom, now, now + span});
  faults_.push_back(std::to_string(ElapsedMs(started_at_, now)) + " ms " +
                    what + " " + whom + " for " + std::to_string(span.count()) +
                    " ms");
}

void soak_world::PutTables() {
  nlohmann::json tables = {
      {"version", ++version_},
      {"routes",
       {Route("/safe/", "safe", "desk", false),
        Route("/once/", "unsafe", "desk", false),
        Route("/resume/", "streaming", "pool", true),
        Route("/stream/", "streaming", "pool", false)}},
      {"services",
       {{{"name", "desk"}, {"health_path", "/health"}},
        {{"name", "pool"},
         {"health_path", "/health"},
         {"engine", {{"slots", 64}, {"kv_cache_tokens", 600000}}}}}},
      {"limits", nlohmann::json::object()},
      {"tenants", {{{"name", "w"}, {"api_keys", keys_}}}}};
  platform_.Put("op", "config", tables.dump());
}

void soak_world::AddUpstream(const std::string& service) {
  auto made = std::make_unique<service_upstream>();
  made->service = service;
  made->upstream = std::make_unique<soak_upstream>(
      loop_, seen_, service + std::to_string(++next_upstream_),
      static_cast<uint32_t>(random_()));
  platform_.Put("servers", made->upstream->id(),
                made->upstream->Entry(service, "ready"));
  upstreams_.push_back(std::move(made));
}

client_target soak_world::ChooseTarget() {
  std::vector<const node*> open;
  for (const node& one : nodes_) {
    // The balancer sends no new connections to nodes that say they leave.
    if (one.program->running() && !one.stopping) {
      open.push_back(&one);
    }
  }
  const node& taken =
      open.empty() ? nodes_.front() : *open[random_() % open.size()];
  return {taken.program->name(), taken.program->clients(),
          keys_[random_() % keys_.size()]};
}

void soak_world::StartClients() {
  for (size_t i = 0; i < terms_.clients; ++i) {
    clients_.push_back(std::make_unique<soak_client>(
        loop_, seen_, "c" + std::to_string(i), static_cast<uint32_t>(random_()),
        [this] { return ChooseTarget(); }));
    clients_.back()->Start();
  }
}

void soak_world::StopClients() {
  for (const std::unique_ptr<soak_client>& client : clients_) {
    client->Stop();
  }
}

void soak_world::Restart(node& one, milliseconds after) {
  Later(after, [&one] {
    if (!one.program->running()) {
      one.stopping = false;
      one.program->Start();
    }
  });
}

void soak_world::Terminate(node& one) {
  one.stopping = true;
  one.program->Signal(SIGTERM);
  // The process ends by itself within its grace period.
  const auto check = std::make_shared<std::function<void()>>();
  *check = [this, &one, check] {
    if (one.program->HasEnded()) {
      Restart(one, Span(100, 400));
      return;
    }
    Later(kEndCheck, *check);
  };
  Later(kEndCheck, *check);
}

void soak_world::Leave(service_upstream& one) {
  if (one.leaving) {
    return;
  }
  one.leaving = true;
  const std::string id = one.upstream->id();
  platform_.Put("servers", id, one.upstream->Entry(one.service, "draining"));
  seen_.leaving.emplace(id, SteadyNow());
  AddUpstream(one.service);
  Later(kServesLeaving, [this, id] { platform_.Drop("servers", id); });
}

void soak_world::RevokeKey() {
  if (keys_.size() <= kKeysKept) {
    return;
  }
  const std::string key = keys_.back();
  keys_.pop_back();
  PutTables();
  seen_.revoked.emplace(key, SteadyNow());
}

void soak_world::HarmNode(node& one) {
  const std::string& name = one.program->name();
  if (!one.program->running() || one.stopping || one.paused) {
    return;
  }
  if (Chance(50)) {
    const milliseconds span = Span(200, 800);
    Note("kill", name, span);
    one.program->Kill();
    Restart(one, span);
    return;
  }
  const milliseconds span = Span(300, 4000);
  Note("pause", name, span);
  one.paused = true;
  one.program->Signal(SIGSTOP);
  Later(span, [&one] {
    one.paused = false;
    one.program->Signal(SIGCONT);
  });
}

void soak_world::HarmNodeLink(node& one) {
  constexpr proxy_mode kModes[] = {proxy_mode::kDelay, proxy_mode::kRefuse,
                                   proxy_mode::kSilent, proxy_mode::kOneWayIn};
  const milliseconds span = Span(300, 5000);
  Note("platform link", one.program->name(), span);
  loopback_proxy& link = *one.platform;
  link.SetMode(kModes[random_() % 4]);
  Later(span, [&link] { link.SetMode(proxy_mode::kPass); });
}

void soak_world::HarmStore() {
  const milliseconds span = Span(200, 3000);
  switch (random_() % 5) {
    case 0:
      Note("store history lost", "", milliseconds(0));
      platform_.ForgetHistory();
      return;
    case 1:
      Note("store clock step", "", milliseconds(0));
      platform_.clock_step += Span(-60000, 60000);
      return;
    case 2:
      platform_.fault = store_fault::kRefuse;
      break;
    case 3:
      platform_.fault = store_fault::kSilent;
      break;
    default:
      platform_.fault = store_fault::kLoseAnswer;
      break;
  }
  Note("store fault", "", span);
  Later(span, [this] { platform_.fault = store_fault::kNone; });
}

void soak_world::HarmUpstream(service_upstream& one) {
  constexpr proxy_mode kModes[] = {proxy_mode::kDelay, proxy_mode::kRefuse,
                                   proxy_mode::kSilent, proxy_mode::kOneWayIn};
  const milliseconds span = Span(200, 3000);
  soak_upstream& upstream = *one.upstream;
  if (Chance(30)) {
    Note("answers lost", upstream.id(), span);
    upstream.SetLosesAnswers(true);
    Later(span, [&upstream] { upstream.SetLosesAnswers(false); });
    return;
  }
  Note("upstream link", upstream.id(), span);
  upstream.proxy().SetMode(kModes[random_() % 4]);
  Later(span, [&upstream] { upstream.proxy().SetMode(proxy_mode::kPass); });
}

void soak_world::PauseUpstreams(time_point end) {
  const time_point now = SteadyNow();
  if (now >= end) {
    return;
  }
  soak_upstream& pausing =
      *upstreams_[pause_random_() % upstreams_.size()]->upstream;
  std::uniform_int_distribution<int> span_ms(kShortestPauseMs, kLongestPauseMs);
  const milliseconds span(span_ms(pause_random_));
  faults_.push_back(std::to_string(ElapsedMs(started_at_, now)) + " ms " +
                    pausing.id() + " pauses for " +
                    std::to_string(span.count()) + " ms");
  pausing.PauseUntil(now + span);
  for (const std::unique_ptr<service_upstream>& one : upstreams_) {
    one->upstream->SetDeclined(kDeclinedWhilePausedPercent);
  }
  Later(span, [this] {
    for (const std::unique_ptr<service_upstream>& one : upstreams_) {
      one->upstream->SetDeclined(kDeclinedPercent);
    }
  });
  Later(span + kBetweenPauses, [this, end] { PauseUpstreams(end); });
}

void soak_world::Harm() {
  node& one = nodes_[random_() % nodes_.size()];
  service_upstream& upstream = *upstreams_[random_() % upstreams_.size()];
  const bool planned = terms_.planned_only || Chance(35);
  if (!planned) {
    switch (random_() % 4) {
      case 0:
        HarmNode(one);
        return;
      case 1:
        HarmNodeLink(one);
        return;
      case 2:
        HarmStore();
        return;
      default:
        HarmUpstream(upstream);
        return;
    }
  }
  switch (random_() % 5) {
    case 0:
      if (one.program->running() && !one.stopping && !one.paused) {
        faults_.push_back("terminate " + one.program->name());
        Terminate(one);
      }
      return;
    case 1:
      faults_.push_back("hang up " + one.program->name());
      one.program->Signal(SIGHUP);
      return;
    case 2:
      faults_.push_back("leave " + upstream.upstream->id());
      Leave(upstream);
      return;
    case 3:
      faults_.push_back("revoke");
      RevokeKey();
      return;
    default:
      faults_.push_back("tables");
      PutTables();
      return;
  }
}

history soak_world::Take() {
  seen_.cloud_calls = platform_.cloud_calls;
  return std::move(seen_);
}

}  // namespace skylarkcroft::soak

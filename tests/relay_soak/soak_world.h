#ifndef SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_WORLD_H_
#define SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_WORLD_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/adapter/platform_standin.h"
#include "tests/relay_soak/loopback_proxy.h"
#include "tests/relay_soak/relay_program.h"
#include "tests/relay_soak/soak_client.h"
#include "tests/relay_soak/soak_history.h"
#include "tests/relay_soak/soak_run.h"
#include "tests/relay_soak/soak_upstream.h"

namespace skylarkcroft::soak {

/// Everything around the relays, and the relays, with the means to harm them.
class soak_world {
 public:
  explicit soak_world(const soak_terms& terms);

  /// Runs the loop.
  void Run(milliseconds span) { loop_.RunFor(span); }
  /// Does something drawn from the seed; undone by itself after a while.
  void Harm();
  /// Lets upstreams pause one after the other until `end`; while one does, the
  /// others decline more. Sound upstreams may do so, so this is no harm.
  void PauseUpstreams(time_point end);
  void StartClients();
  void StopClients();
  /// From now on nothing is harmed.
  void SetCalm() { seen_.calm_from = SteadyNow(); }
  [[nodiscard]] history Take();
  [[nodiscard]] const std::vector<std::string>& faults() const {
    return faults_;
  }

 private:
  struct node {
    std::unique_ptr<loopback_proxy> platform;
    std::unique_ptr<relay_program> program;
    bool stopping = false;
    bool paused = false;
  };
  struct service_upstream {
    std::string service;
    std::unique_ptr<soak_upstream> upstream;
    bool leaving = false;
  };

  void PutTables();
  void AddUpstream(const std::string& service);
  client_target ChooseTarget();
  void HarmNode(node& one);
  void HarmNodeLink(node& one);
  void HarmStore();
  void HarmUpstream(service_upstream& one);
  void Terminate(node& one);
  void Restart(node& one, milliseconds after);
  void Leave(service_upstream& one);
  void RevokeKey();
  void Note(const std::string& what, const std::string& whom,
            milliseconds span);
  void Later(milliseconds delay, std::function<void()> call);
  milliseconds Span(int least_ms, int most_ms);
  bool Chance(int percent);

  soak_terms terms_;
  std::mt19937 random_;
  /// Draws the pauses alone, so that they leave the faults of a seed as they
  /// are.
  std::mt19937 pause_random_;
  event_loop loop_;
  history seen_;
  platform_standin platform_;
  std::vector<node> nodes_;
  std::vector<std::unique_ptr<service_upstream>> upstreams_;
  std::vector<std::unique_ptr<soak_client>> clients_;
  std::vector<std::string> keys_ = {"k0", "k1", "k2", "k3", "k4", "k5"};
  std::vector<std::string> faults_;
  std::vector<event_loop::handle_ptr> timers_;
  int64_t version_ = 0;
  int next_upstream_ = 0;
  time_point started_at_;
};

}  // namespace skylarkcroft::soak

#endif  // SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_WORLD_H_

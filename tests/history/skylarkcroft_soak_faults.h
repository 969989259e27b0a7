#ifndef SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_FAULTS_H_
#define SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_FAULTS_H_

#include <cstdint>
#include <functional>
#include <list>
#include <random>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/history/skylarkcroft_history.h"
#include "tests/history/skylarkcroft_soak_targets.h"

namespace skylarkcroft::history {

class soak_observer;

/// One fault order to a stand-in.
struct soak_fault {
  std::string name;
  endpoint target;
  std::string path;
  std::string body;

  bool operator==(const soak_fault&) const = default;
};

/// Puts faults into the stand-ins, drawn from a seed: one at a time, two
/// together, and the same twice in a row, with quiet spells between.
class soak_faults {
 public:
  using note_fn = std::function<void(const std::string& line)>;

  soak_faults(event_loop& loop, http_client& client,
              const soak_targets& targets, run_history& history,
              soak_observer& observer, uint64_t seed, note_fn note);

  void Start() { WaitForNext(); }
  /// Ends all faults; upstreams that leave go on leaving.
  void Stop();
  [[nodiscard]] bool idle() const { return calls_.empty(); }

 private:
  void WaitForNext();
  void Strike();
  void Clear();
  soak_fault DrawPlatformFault();
  soak_fault DrawEngineFault();
  soak_fault DrawServiceFault();
  soak_fault Draw();
  void LeaveOne();
  void Send(const soak_fault& fault, const std::function<void()>& done);
  uint64_t Below(uint64_t bound) { return random_() % bound; }

  event_loop& loop_;
  http_client& client_;
  const soak_targets& targets_;
  run_history& history_;
  soak_observer& observer_;
  std::mt19937_64 random_;
  note_fn note_;
  size_t left_ = 0;
  std::vector<soak_fault> last_;
  std::list<http_call_ptr> calls_;
  event_loop::handle_ptr timer_;
};

}  // namespace skylarkcroft::history

#endif  // SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_FAULTS_H_

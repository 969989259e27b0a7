#ifndef SKYLARKCROFT_TESTS_PLACEMENT_SIMULATED_ENGINES_H_
#define SKYLARKCROFT_TESTS_PLACEMENT_SIMULATED_ENGINES_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "skylarkcroft/placement/skylarkcroft_load_balancer.h"

namespace skylarkcroft {

/// What a simulation is run with.
struct simulation_options {
  size_t nodes = 7;
  int engines = 45;
  int slots = 32;
  double rate_per_s = 240;
  int64_t prompt_tokens = 3000;
  int events = 40;
  /// Factor on all times of the engine with this index.
  std::function<double(int engine)> slowness = [](int) { return 1.0; };
  /// Share of the engines that at any time take `noise_factor` as long, each
  /// for kNoiseSpan.
  double noise_share = 0;
  double noise_factor = 3;
  milliseconds long_pause{400};
  /// Only answers to requests placed from then on are counted.
  milliseconds warm_up{8000};
  /// When the engine with this index is listed, after the start.
  std::function<milliseconds(int engine)> listed_at = [](int) {
    return milliseconds(0);
  };
  /// For `cold` after an engine was listed late, prompts take `cold_factor` as
  /// long.
  milliseconds cold{0};
  double cold_factor = 2;
  load_balancer_parameters balancer;
  /// Whether the nodes learn the engines' speeds.
  bool measure = true;
  uint64_t seed = 7;
};

/// Nodes that place requests by their own knowledge and old reports of each
/// other, and engines that prefill one prompt at a time and share their speed
/// among the running streams.
class simulated_engines {
 public:
  struct tally {
    int placed = 0;
    int ended = 0;
    int long_pauses = 0;
    int64_t running_ms = 0;  ///< Sum of running requests over the time.
    int declined = 0;
    int late = 0;  ///< Answers with a first event after kLate.
    /// From the time it was listed until it first had 0.8 of the mean number of
    /// running requests.
    std::optional<milliseconds> time_to_use;
  };

  explicit simulated_engines(const simulation_options& options);
  ~simulated_engines();
  simulated_engines(const simulated_engines&) = delete;
  simulated_engines& operator=(const simulated_engines&) = delete;

  void Run(milliseconds span);
  [[nodiscard]] const std::vector<tally>& tallies() const;
  [[nodiscard]] const load_balancer& node(size_t index) const;
  [[nodiscard]] static std::string Id(int engine);

 private:
  static constexpr milliseconds kLate{400};

  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_PLACEMENT_SIMULATED_ENGINES_H_

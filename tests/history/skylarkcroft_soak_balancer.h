#ifndef SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_BALANCER_H_
#define SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_BALANCER_H_

#include <map>
#include <random>
#include <string>

#include "tests/history/skylarkcroft_soak_targets.h"

namespace skylarkcroft::history {

/// Chooses nodes for callers as the platform's balancer does: at random among
/// those that last said that they serve, or among all when none does.
class soak_balancer {
 public:
  explicit soak_balancer(const soak_targets& targets) : targets_(targets) {}

  void NoteServing(const std::string& node, bool serving) {
    serving_[node] = serving;
  }
  [[nodiscard]] const soak_node& Choose(std::mt19937_64& random) const;

 private:
  const soak_targets& targets_;
  std::map<std::string, bool> serving_;
};

}  // namespace skylarkcroft::history

#endif  // SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_BALANCER_H_

#ifndef SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_TARGETS_H_
#define SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_TARGETS_H_

#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"

namespace skylarkcroft::history {

/// A node as a run knows it.
struct soak_node {
  std::string name;
  endpoint callers;
  endpoint operators;

  bool operator==(const soak_node&) const = default;
};

/// The processes that a run drives.
struct soak_targets {
  std::vector<soak_node> nodes;
  std::vector<endpoint> engines;
  std::vector<endpoint> services;
  endpoint platform;
  /// Bearer key of the callers.
  std::string caller_key;

  bool operator==(const soak_targets&) const = default;
};

/// JSON text of the tables that route the callers to the targets: completions
/// to the engines, `/orders` to the services. `variant` changes a value that
/// does not matter to the answers, so that edits differ.
std::string SoakRoutes(const soak_targets& targets);
std::string SoakPools(const soak_targets& targets, int variant);

}  // namespace skylarkcroft::history

#endif  // SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_TARGETS_H_

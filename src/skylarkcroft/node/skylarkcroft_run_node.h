#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_RUN_NODE_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_RUN_NODE_H_

#include <string>

namespace skylarkcroft {

/// Runs a node with the settings file at `settings_path` until SIGTERM or
/// SIGINT; a second signal ends it at once. Prints
/// `{"callers":ADDRESS,"operators":ADDRESS}` on standard output once it
/// listens. Returns the exit code. Throws config_error and network_error.
int RunNode(const std::string& settings_path);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_RUN_NODE_H_

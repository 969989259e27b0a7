#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_NODE_COMMAND_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_NODE_COMMAND_H_

#include <functional>
#include <string>

#include "skylarkcroft/cli/skylarkcroft_command.h"

namespace skylarkcroft {

/// Runs a node until it shuts down; returns the exit code of the process.
using run_node_fn = std::function<int(const std::string& settings_path)>;

/// `node --settings FILE`: the daemon.
class node_command final : public command {
 public:
  explicit node_command(run_node_fn run_node);

  [[nodiscard]] std::string name() const override { return "node"; }
  [[nodiscard]] std::string summary() const override;
  [[nodiscard]] std::string synopsis() const override { return ""; }
  void AddOptions(option_parser& parser) override;
  exit_code Run(const command_call& call) override;

 private:
  run_node_fn run_node_;
  std::string settings_path_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_NODE_COMMAND_H_

#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_NODE_COMMAND_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_NODE_COMMAND_H_

#include <functional>
#include <string>

#include "skylarkcroft/cli/skylarkcroft_command.h"

namespace skylarkcroft {

/// Runs a node until it shuts down; returns the exit code of the process.
using run_node_fn = std::function<int(const std::string& settings_path)>;

/// `node --settings FILE` and `relay --settings FILE`: the daemons.
class node_command final : public command {
 public:
  node_command(std::string name, std::string summary, run_node_fn run_node);

  [[nodiscard]] std::string name() const override { return name_; }
  [[nodiscard]] std::string summary() const override { return summary_; }
  [[nodiscard]] std::string synopsis() const override { return ""; }
  void AddOptions(option_parser& parser) override;
  exit_code Run(const command_call& call) override;

 private:
  std::string name_;
  std::string summary_;
  run_node_fn run_node_;
  std::string settings_path_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_NODE_COMMAND_H_

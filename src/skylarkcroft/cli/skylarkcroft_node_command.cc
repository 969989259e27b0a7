#include "skylarkcroft/cli/skylarkcroft_node_command.h"

#include <utility>

#include "skylarkcroft/cli/skylarkcroft_cli_errors.h"
#include "skylarkcroft/cli/skylarkcroft_option_parser.h"

namespace skylarkcroft {

node_command::node_command(std::string name, std::string summary,
                           run_node_fn run_node)
    : name_(std::move(name)),
      summary_(std::move(summary)),
      run_node_(std::move(run_node)) {}

void node_command::AddOptions(option_parser& parser) {
  parser.AddString("settings", "FILE", "settings of the node, JSON",
                   &settings_path_);
}

exit_code node_command::Run(const command_call& call) {
  if (settings_path_.empty()) {
    throw usage_error("no settings are given", "add --settings FILE");
  }
  if (!call.arguments.empty()) {
    throw usage_error("unexpected argument " + call.arguments.front(),
                      "give only --settings FILE");
  }
  return static_cast<exit_code>(run_node_(settings_path_));
}

}  // namespace skylarkcroft

#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_LOGLEVEL_COMMAND_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_LOGLEVEL_COMMAND_H_

#include <string>
#include <vector>

#include "skylarkcroft/cli/skylarkcroft_command.h"
#include "skylarkcroft/cli/skylarkcroft_node_options.h"

namespace skylarkcroft {

/// `loglevel LEVEL`: changes what a node logs while it runs.
class loglevel_command final : public command {
 public:
  [[nodiscard]] std::string name() const override { return "loglevel"; }
  [[nodiscard]] std::string summary() const override;
  [[nodiscard]] std::string synopsis() const override {
    return "trace|debug|info|warn|error";
  }
  [[nodiscard]] std::vector<std::string> choices() const override;
  void AddOptions(option_parser& parser) override;
  exit_code Run(const command_call& call) override;

 private:
  node_options node_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_LOGLEVEL_COMMAND_H_

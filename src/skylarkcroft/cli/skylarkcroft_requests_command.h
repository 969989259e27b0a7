#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_REQUESTS_COMMAND_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_REQUESTS_COMMAND_H_

#include <string>

#include "skylarkcroft/cli/skylarkcroft_command.h"
#include "skylarkcroft/cli/skylarkcroft_node_options.h"

namespace skylarkcroft {

/// `requests`: the requests in flight at a node.
class requests_command final : public command {
 public:
  [[nodiscard]] std::string name() const override { return "requests"; }
  [[nodiscard]] std::string summary() const override;
  [[nodiscard]] std::string synopsis() const override { return ""; }
  void AddOptions(option_parser& parser) override;
  exit_code Run(const command_call& call) override;

 private:
  node_options node_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_REQUESTS_COMMAND_H_

#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_COMPLETION_COMMAND_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_COMPLETION_COMMAND_H_

#include <string>
#include <vector>

#include "skylarkcroft/cli/skylarkcroft_command.h"

namespace skylarkcroft {

/// What completes a subcommand: its own name and its first argument.
struct completion_word {
  std::string command;
  std::vector<std::string> choices;

  bool operator==(const completion_word&) const = default;
};

/// `completion bash|zsh`: prints a completion script for a shell.
class completion_command final : public command {
 public:
  explicit completion_command(std::vector<completion_word> words);

  [[nodiscard]] std::string name() const override { return "completion"; }
  [[nodiscard]] std::string summary() const override;
  [[nodiscard]] std::string synopsis() const override { return "bash|zsh"; }
  [[nodiscard]] std::vector<std::string> choices() const override;
  exit_code Run(const command_call& call) override;

 private:
  std::vector<completion_word> words_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_COMPLETION_COMMAND_H_

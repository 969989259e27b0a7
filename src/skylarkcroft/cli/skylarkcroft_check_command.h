#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_CHECK_COMMAND_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_CHECK_COMMAND_H_

#include <string>

#include "skylarkcroft/cli/skylarkcroft_command.h"
#include "skylarkcroft/cli/skylarkcroft_document_check.h"

namespace skylarkcroft {

/// `check FILE...`: validates settings and tables offline.
class check_command final : public command {
 public:
  explicit check_command(document_check_fn check);

  [[nodiscard]] std::string name() const override { return "check"; }
  [[nodiscard]] std::string summary() const override;
  [[nodiscard]] std::string synopsis() const override { return "FILE..."; }
  exit_code Run(const command_call& call) override;

 private:
  document_check_fn check_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_CHECK_COMMAND_H_

#include "skylarkcroft/cli/skylarkcroft_status_command.h"

#include <nlohmann/json.hpp>
#include <ostream>

#include "skylarkcroft/cli/skylarkcroft_cli_errors.h"
#include "skylarkcroft/cli/skylarkcroft_readable_text.h"

namespace skylarkcroft {

std::string status_command::summary() const { return "show a node's state"; }

void status_command::AddOptions(option_parser& parser) { node_.AddTo(parser); }

exit_code status_command::Run(const command_call& call) {
  if (!call.arguments.empty()) {
    throw usage_error("unexpected argument " + call.arguments.front(),
                      "give options only");
  }
  const nlohmann::json status = node_.MakeClient().Get("/operators/status");
  if (call.json) {
    call.out << status << "\n";
  } else {
    call.out << ToReadableText(status);
  }
  return exit_code::kOk;
}

}  // namespace skylarkcroft

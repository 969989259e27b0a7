#include "skylarkcroft/cli/skylarkcroft_requests_command.h"

#include <nlohmann/json.hpp>
#include <ostream>

#include "skylarkcroft/cli/skylarkcroft_cli_errors.h"
#include "skylarkcroft/cli/skylarkcroft_readable_text.h"

namespace skylarkcroft {

std::string requests_command::summary() const {
  return "list the requests in flight at a node";
}

void requests_command::AddOptions(option_parser& parser) {
  node_.AddTo(parser);
}

exit_code requests_command::Run(const command_call& call) {
  if (!call.arguments.empty()) {
    throw usage_error("unexpected argument " + call.arguments.front(),
                      "give options only");
  }
  const nlohmann::json answer = node_.MakeClient().Get("/operators/requests");
  if (call.json) {
    call.out << answer << "\n";
    return exit_code::kOk;
  }
  const nlohmann::json requests =
      answer.value("requests", nlohmann::json::array());
  for (const nlohmann::json& request : requests) {
    call.out << ToReadableLine(request) << "\n";
  }
  call.err << requests.size() << " in flight\n";
  return exit_code::kOk;
}

}  // namespace skylarkcroft

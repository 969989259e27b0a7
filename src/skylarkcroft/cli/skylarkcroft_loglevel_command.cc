#include "skylarkcroft/cli/skylarkcroft_loglevel_command.h"

#include <nlohmann/json.hpp>
#include <ostream>

#include "skylarkcroft/cli/skylarkcroft_cli_errors.h"
#include "skylarkcroft/log/skylarkcroft_log_level.h"

namespace skylarkcroft {

std::string loglevel_command::summary() const {
  return "change a node's log level while it runs";
}

std::vector<std::string> loglevel_command::choices() const {
  return {"trace", "debug", "info", "warn", "error"};
}

void loglevel_command::AddOptions(option_parser& parser) {
  node_.AddTo(parser);
}

exit_code loglevel_command::Run(const command_call& call) {
  if (call.arguments.size() != 1 || !ParseLogLevel(call.arguments.front())) {
    throw usage_error("no valid level is given", "use one of " + synopsis());
  }
  const std::string& level = call.arguments.front();
  const http_result result =
      node_.MakeClient().Send({"PUT",
                               "/operators/loglevel",
                               {{"Content-Type", "application/json"}},
                               nlohmann::json{{"level", level}}.dump()});
  if (result.outcome != http_outcome::kComplete) {
    throw unreachable_error("the node gave no answer",
                            "repeat the command; a repeat does no harm");
  }
  if (!result.Ok()) {
    ThrowRefused(result.response);
  }
  if (call.json) {
    call.out << nlohmann::json{{"level", level}} << "\n";
  } else {
    call.out << "level is " << level << "\n";
  }
  return exit_code::kOk;
}

}  // namespace skylarkcroft

#include "skylarkcroft/cli/skylarkcroft_cli.h"

#include <algorithm>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/cli/skylarkcroft_check_command.h"
#include "skylarkcroft/cli/skylarkcroft_cli_errors.h"
#include "skylarkcroft/cli/skylarkcroft_completion_command.h"
#include "skylarkcroft/cli/skylarkcroft_loglevel_command.h"
#include "skylarkcroft/cli/skylarkcroft_option_parser.h"
#include "skylarkcroft/cli/skylarkcroft_requests_command.h"
#include "skylarkcroft/cli/skylarkcroft_status_command.h"
#include "skylarkcroft/cli/skylarkcroft_table_command.h"
#include "skylarkcroft/node/skylarkcroft_run_node.h"

namespace skylarkcroft {
namespace {

using command_list = std::vector<std::unique_ptr<command>>;

constexpr const char* kVersionLine = "skylarkcroft " SKYLARKCROFT_VERSION "\n";

command_list MakeCommands(const cli_environment& environment) {
  command_list commands;
  commands.push_back(std::make_unique<node_command>(
      "node", "run a node in the foreground", environment.run_node));
  commands.push_back(std::make_unique<node_command>(
      "relay", "run a node on the operators' platform in the foreground",
      environment.run_relay));
  commands.push_back(std::make_unique<check_command>(environment.check));
  commands.push_back(std::make_unique<table_command>("routes"));
  commands.push_back(std::make_unique<table_command>("pools"));
  commands.push_back(std::make_unique<status_command>());
  commands.push_back(std::make_unique<requests_command>());
  commands.push_back(std::make_unique<loglevel_command>());
  std::vector<completion_word> words;
  for (const auto& listed : commands) {
    words.push_back({listed->name(), listed->choices()});
  }
  commands.push_back(std::make_unique<completion_command>(std::move(words)));
  return commands;
}

std::string Overview(const command_list& commands) {
  constexpr size_t kNameWidth = 14;
  std::string text =
      "Usage: skylarkcroft COMMAND [OPTION...] [ARGUMENT...]\n\nCommands:\n";
  for (const auto& listed : commands) {
    std::string name = listed->name();
    name.resize(kNameWidth, ' ');
    text += "  " + name + listed->summary() + "\n";
  }
  return text +
         "\nEach command takes --help, --json and --version.\n"
         "Exit codes: 0 done, 1 failure, 2 usage, 3 invalid document,\n"
         "4 conflict, 5 outcome unknown, 6 node unreachable.\n";
}

exit_code CodeOf(const error& failure) {
  if (dynamic_cast<const usage_error*>(&failure) != nullptr) {
    return exit_code::kUsage;
  }
  if (dynamic_cast<const config_error*>(&failure) != nullptr) {
    return exit_code::kInvalidDocument;
  }
  if (dynamic_cast<const unreachable_error*>(&failure) != nullptr) {
    return exit_code::kUnreachable;
  }
  return exit_code::kFailure;
}

exit_code RunCommand(command& chosen, const std::vector<std::string>& arguments,
                     const cli_environment& environment) {
  bool json = false;
  bool help = false;
  bool version = false;
  option_parser parser("skylarkcroft " + chosen.name(), chosen.synopsis());
  chosen.AddOptions(parser);
  parser.AddFlag("json", "print one JSON document, for scripts", &json);
  parser.AddFlag("help", "show this text", &help);
  parser.AddFlag("version", "show the version", &version);
  command_call call{parser.Parse(arguments), json, environment.out,
                    environment.err};
  if (help) {
    environment.out << parser.Help() << "\n" << chosen.summary() << "\n";
    return exit_code::kOk;
  }
  if (version) {
    environment.out << kVersionLine;
    return exit_code::kOk;
  }
  try {
    return chosen.Run(call);
  } catch (const error& failure) {
    if (json) {
      environment.out << nlohmann::json{{"error", failure.what()},
                                        {"exit_code", CodeOf(failure)}}
                      << "\n";
    }
    throw;
  }
}

exit_code Dispatch(const std::vector<std::string>& arguments,
                   const cli_environment& environment) {
  const command_list commands = MakeCommands(environment);
  const std::string name = arguments.empty() ? "" : arguments.front();
  if (name == "--help" || name == "help") {
    environment.out << Overview(commands);
    return exit_code::kOk;
  }
  if (name == "--version") {
    environment.out << kVersionLine;
    return exit_code::kOk;
  }
  const auto chosen =
      std::find_if(commands.begin(), commands.end(),
                   [&](const auto& listed) { return listed->name() == name; });
  if (chosen == commands.end()) {
    throw usage_error(
        name.empty() ? "no command is given" : "unknown command " + name,
        "see skylarkcroft --help");
  }
  return RunCommand(**chosen, {arguments.begin() + 1, arguments.end()},
                    environment);
}

}  // namespace

int RunCommandLine(const std::vector<std::string>& arguments,
                   const cli_environment& environment) {
  exit_code code = exit_code::kFailure;
  try {
    code = Dispatch(arguments, environment);
  } catch (const error& failure) {
    environment.err << "skylarkcroft: " << failure.what() << "\n";
    code = CodeOf(failure);
  } catch (const std::exception& failure) {
    environment.err << "skylarkcroft: unexpected error: " << failure.what()
                    << "\n";
  }
  return static_cast<int>(code);
}

int RunCli(int argc, const char** argv, run_node_fn run_relay) {
  const std::vector<std::string> arguments(argv + std::min(argc, 1),
                                           argv + argc);
  return RunCommandLine(arguments, {std::cout, std::cerr, CheckDocuments,
                                    RunNode, std::move(run_relay)});
}

}  // namespace skylarkcroft

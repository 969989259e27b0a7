#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_CLI_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_CLI_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "skylarkcroft/cli/skylarkcroft_document_check.h"
#include "skylarkcroft/cli/skylarkcroft_node_command.h"

namespace skylarkcroft {

/// What the subcommands reach beyond their arguments.
struct cli_environment {
  std::ostream& out;
  std::ostream& err;
  document_check_fn check;
  run_node_fn run_node;
  run_node_fn run_relay;
};

/// Runs the subcommand named by the first of `arguments`, which exclude the
/// program's own name. Returns the exit code of the process.
int RunCommandLine(const std::vector<std::string>& arguments,
                   const cli_environment& environment);

/// Runs the subcommand named by argv[1] with the process's own streams; returns
/// the exit code of the process. `run_relay` runs the `relay` command.
int RunCli(int argc, const char** argv, run_node_fn run_relay);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_CLI_H_

#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_CLI_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_CLI_H_

namespace skylarkcroft {

/// Runs the subcommand named by argv[1]; returns the exit code of the process.
int RunCli(int argc, const char** argv);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_CLI_H_

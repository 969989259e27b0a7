#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_LOAD_CLI_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_LOAD_CLI_H_

#include "load/skylarkcroft_answer_check.h"

namespace skylarkcroft::load {

/// Runs the subcommand named by argv[1] and returns the exit code: 0 for a run
/// without lost requests or wrong answers, 1 when it had some, 2 for bad
/// arguments or files.
int RunLoadCli(int argc, const char** argv, const token_text_fn& token_text);

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_LOAD_CLI_H_

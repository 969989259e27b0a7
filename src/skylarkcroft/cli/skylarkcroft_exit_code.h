#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_EXIT_CODE_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_EXIT_CODE_H_

namespace skylarkcroft {

/// Exit codes of every subcommand; listed in docs/cli.md.
enum class exit_code {
  kOk = 0,
  kFailure = 1,
  kUsage = 2,
  kInvalidDocument = 3,
  kConflict = 4,
  kOutcomeUnknown = 5,
  kUnreachable = 6,
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_EXIT_CODE_H_

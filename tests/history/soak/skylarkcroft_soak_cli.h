#ifndef SKYLARKCROFT_TESTS_HISTORY_SOAK_SKYLARKCROFT_SOAK_CLI_H_
#define SKYLARKCROFT_TESTS_HISTORY_SOAK_SKYLARKCROFT_SOAK_CLI_H_

namespace skylarkcroft::history {

/// Exit codes of skylarkcroft_soak.
inline constexpr int kSoakClean = 0;
inline constexpr int kSoakViolation = 1;
inline constexpr int kSoakFailed = 2;

/// `skylarkcroft_soak run ADDRESSES... --seed S --seconds N --out FILE` drives
/// running processes and records; `skylarkcroft_soak check FILE...` runs the
/// checks over the events of all files and prints the verdict. Throws
/// skylarkcroft::error for arguments and files that cannot be used.
int RunSoakCli(int argc, const char** argv);

}  // namespace skylarkcroft::history

#endif  // SKYLARKCROFT_TESTS_HISTORY_SOAK_SKYLARKCROFT_SOAK_CLI_H_

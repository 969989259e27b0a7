#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_COMMAND_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_COMMAND_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "skylarkcroft/cli/skylarkcroft_exit_code.h"

namespace skylarkcroft {

class option_parser;

/// What one run of a subcommand is given. Results go to `out`, remarks and
/// errors to `err`.
struct command_call {
  std::vector<std::string> arguments;
  /// True when `out` must be one JSON document.
  bool json = false;
  std::ostream& out;
  std::ostream& err;
};

/// One subcommand.
class command {
 public:
  virtual ~command() = default;

  [[nodiscard]] virtual std::string name() const = 0;
  /// One line for the list of subcommands.
  [[nodiscard]] virtual std::string summary() const = 0;
  /// Arguments as in the usage line.
  [[nodiscard]] virtual std::string synopsis() const = 0;
  /// Words the first argument is one of, for shell completion.
  [[nodiscard]] virtual std::vector<std::string> choices() const { return {}; }
  /// Adds the subcommand's own options.
  virtual void AddOptions(option_parser& /*parser*/) {}
  /// Throws usage_error, config_error and the other kinds of cli_errors.
  virtual exit_code Run(const command_call& call) = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_COMMAND_H_

#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_OPTION_PARSER_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_OPTION_PARSER_H_

#include <string>
#include <vector>

namespace skylarkcroft {

/// Options of one subcommand, read by popt.
class option_parser {
 public:
  /// `program` and `synopsis` make the usage line of the help text.
  option_parser(std::string program, std::string synopsis);

  /// Sets `*target` when `--NAME` is given; `target` must outlive Parse().
  void AddFlag(std::string name, std::string description, bool* target);
  /// Stores the value of `--NAME VALUE`; `target` must outlive Parse().
  void AddString(std::string name, std::string argument,
                 std::string description, std::string* target);

  /// Returns the arguments that are not options. Throws usage_error.
  [[nodiscard]] std::vector<std::string> Parse(
      const std::vector<std::string>& arguments) const;
  /// Usage line and one line an option.
  [[nodiscard]] std::string Help() const;

 private:
  struct option {
    std::string name;
    std::string argument;
    std::string description;
    bool* flag = nullptr;
    std::string* value = nullptr;
  };
  class context;

  std::string program_;
  std::string synopsis_;
  std::vector<option> options_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_OPTION_PARSER_H_

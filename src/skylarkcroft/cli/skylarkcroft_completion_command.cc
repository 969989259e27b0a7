#include "skylarkcroft/cli/skylarkcroft_completion_command.h"

#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

#include "skylarkcroft/cli/skylarkcroft_cli_errors.h"

namespace skylarkcroft {
namespace {

constexpr const char* kOptions =
    "--help --json --version --node --key-file --settings --if-match --edit-id";

std::string Join(const std::vector<std::string>& words) {
  std::string joined;
  for (const std::string& word : words) {
    joined += (joined.empty() ? "" : " ") + word;
  }
  return joined;
}

std::string BashScript(const std::vector<completion_word>& words) {
  std::string names;
  std::string cases;
  for (const completion_word& word : words) {
    names += (names.empty() ? "" : " ") + word.command;
    if (word.choices.empty()) {
      continue;
    }
    cases +=
        "    " + word.command + ") words=\"" + Join(word.choices) + "\" ;;\n";
  }
  return "_skylarkcroft() {\n"
         "  local current=${COMP_WORDS[COMP_CWORD]} words=\n"
         "  COMPREPLY=()\n"
         "  if [[ $current == -* ]]; then\n"
         "    words=\"" +
         std::string(kOptions) +
         "\"\n"
         "  elif (( COMP_CWORD == 1 )); then\n"
         "    words=\"" +
         names +
         "\"\n"
         "  elif (( COMP_CWORD == 2 )); then\n"
         "    case ${COMP_WORDS[1]} in\n" +
         cases +
         "    esac\n"
         "  fi\n"
         "  if [[ -n $words ]]; then\n"
         "    COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
         "  else\n"
         "    COMPREPLY=($(compgen -f -- \"$current\"))\n"
         "  fi\n"
         "}\n"
         "complete -o filenames -F _skylarkcroft skylarkcroft\n";
}

}  // namespace

completion_command::completion_command(std::vector<completion_word> words)
    : words_(std::move(words)) {
  words_.push_back({name(), choices()});
}

std::string completion_command::summary() const {
  return "print a completion script for a shell";
}

std::vector<std::string> completion_command::choices() const {
  return {"bash", "zsh"};
}

exit_code completion_command::Run(const command_call& call) {
  const bool zsh = call.arguments == std::vector<std::string>{"zsh"};
  if (!zsh && call.arguments != std::vector<std::string>{"bash"}) {
    throw usage_error("no known shell is given", "use one of " + synopsis());
  }
  const std::string script =
      (zsh ? "autoload -U +X bashcompinit && bashcompinit\n" : "") +
      BashScript(words_);
  if (call.json) {
    call.out << nlohmann::json{{"script", script}} << "\n";
  } else {
    call.out << script;
  }
  return exit_code::kOk;
}

}  // namespace skylarkcroft

#include "skylarkcroft/cli/skylarkcroft_option_parser.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <utility>

#include "skylarkcroft/cli/skylarkcroft_cli_errors.h"

namespace skylarkcroft {

// The popt context of a parser; popt keeps pointers into both tables.
class option_parser::context {
 public:
  context(const option_parser& parser,
          const std::vector<std::string>& arguments)
      : parser_(parser) {
    argv_.push_back(parser.program_.c_str());
    for (const std::string& argument : arguments) {
      argv_.push_back(argument.c_str());
    }
    argv_.push_back(nullptr);
    int value = 0;
    for (const option& known : parser.options_) {
      ++value;
      const bool flag = known.flag != nullptr;
      table_.push_back({known.name.c_str(), '\0',
                        flag ? POPT_ARG_NONE : POPT_ARG_STRING, nullptr, value,
                        known.description.c_str(),
                        flag ? nullptr : known.argument.c_str()});
    }
    table_.push_back(POPT_TABLEEND);
    raw_ = poptGetContext(parser.program_.c_str(),
                          static_cast<int>(argv_.size()) - 1, argv_.data(),
                          table_.data(), 0);
    poptSetOtherOptionHelp(raw_, parser.synopsis_.c_str());
  }
  ~context() { poptFreeContext(raw_); }
  context(const context&) = delete;
  context& operator=(const context&) = delete;

  std::vector<std::string> Parse() {
    int value = 0;
    while ((value = poptGetNextOpt(raw_)) > 0) {
      Store(parser_.options_.at(static_cast<size_t>(value) - 1));
    }
    constexpr int kNoMoreOptions = -1;
    if (value < kNoMoreOptions) {
      throw usage_error(
          std::string(poptBadOption(raw_, 0)) + ": " + poptStrerror(value),
          "see " + parser_.program_ + " --help");
    }
    std::vector<std::string> rest;
    const char** left = poptGetArgs(raw_);
    for (; left != nullptr && *left != nullptr; ++left) {
      rest.emplace_back(*left);
    }
    return rest;
  }

  std::string Help() {
    char* text = nullptr;
    size_t size = 0;
    FILE* stream = open_memstream(&text, &size);
    poptPrintHelp(raw_, stream, 0);
    std::fclose(stream);
    const std::unique_ptr<char, decltype(&std::free)> owned(text, &std::free);
    return {text, size};
  }

 private:
  void Store(const option& known) {
    if (known.flag != nullptr) {
      *known.flag = true;
      return;
    }
    const std::unique_ptr<char, decltype(&std::free)> text(poptGetOptArg(raw_),
                                                           &std::free);
    *known.value = text == nullptr ? "" : text.get();
  }

  const option_parser& parser_;
  std::vector<const char*> argv_;
  std::vector<poptOption> table_;
  poptContext raw_;
};

option_parser::option_parser(std::string program, std::string synopsis)
    : program_(std::move(program)), synopsis_(std::move(synopsis)) {}

void option_parser::AddFlag(std::string name, std::string description,
                            bool* target) {
  options_.push_back(
      {std::move(name), "", std::move(description), target, nullptr});
}

void option_parser::AddString(std::string name, std::string argument,
                              std::string description, std::string* target) {
  options_.push_back({std::move(name), std::move(argument),
                      std::move(description), nullptr, target});
}

std::vector<std::string> option_parser::Parse(
    const std::vector<std::string>& arguments) const {
  return context(*this, arguments).Parse();
}

std::string option_parser::Help() const { return context(*this, {}).Help(); }

}  // namespace skylarkcroft

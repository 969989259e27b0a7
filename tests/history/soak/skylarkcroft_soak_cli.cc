#include "tests/history/soak/skylarkcroft_soak_cli.h"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/history/skylarkcroft_history_checks.h"
#include "tests/history/skylarkcroft_history_json.h"
#include "tests/history/skylarkcroft_soak_run.h"

namespace skylarkcroft::history {
namespace {

constexpr const char* kSoakKey = "soak-key";
constexpr const char* kHelpRemedy = "see scripts/soak and --help";
constexpr int kDefaultSeconds = 20;
constexpr size_t kDefaultCallers = 16;
constexpr size_t kDefaultFlood = 60;
constexpr size_t kMaxPrinted = 30;

/// An argument that cannot be used.
class usage_error : public error {
 public:
  using error::error;
};

struct cli_options {
  std::string command;
  std::vector<std::string> files;
  /// Lists `IP:PORT,...`, nodes in the order of their names.
  std::string callers;
  std::string operators;
  std::string engines;
  std::string services;
  std::string platform;
  std::string out;
  int seed = 1;
  int seconds = kDefaultSeconds;
};

struct popt_closer {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

struct malloc_closer {
  void operator()(char* text) const { std::free(text); }
};

std::string Take(char* text) {
  const std::unique_ptr<char, malloc_closer> owner(text);
  return text == nullptr ? "" : text;
}

cli_options ParseOptions(int argc, const char** argv) {
  std::array<char*, 6> texts{};
  cli_options options;
  const std::array<poptOption, 10> table = {{
      {"callers", 0, POPT_ARG_STRING, &texts[0], 0,
       "callers' addresses of the nodes", "IP:PORT,..."},
      {"operators", 0, POPT_ARG_STRING, &texts[1], 0,
       "operators' addresses of the nodes", "IP:PORT,..."},
      {"engines", 0, POPT_ARG_STRING, &texts[2], 0, "engines", "IP:PORT,..."},
      {"services", 0, POPT_ARG_STRING, &texts[3], 0, "plain services",
       "IP:PORT,..."},
      {"platform", 0, POPT_ARG_STRING, &texts[4], 0, "platform", "IP:PORT"},
      {"out", 0, POPT_ARG_STRING, &texts[5], 0, "file for the history", "FILE"},
      {"seed", 0, POPT_ARG_INT, &options.seed, 0, "seed of the run", "N"},
      {"seconds", 0, POPT_ARG_INT, &options.seconds, 0, "length of the run",
       "N"},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  const std::unique_ptr<poptContext_s, popt_closer> context(
      poptGetContext("skylarkcroft_soak", argc, argv, table.data(), 0));
  poptSetOtherOptionHelp(context.get(), "run|check [FILE...] [OPTION...]");
  const int status = poptGetNextOpt(context.get());
  options.callers = Take(texts[0]);
  options.operators = Take(texts[1]);
  options.engines = Take(texts[2]);
  options.services = Take(texts[3]);
  options.platform = Take(texts[4]);
  options.out = Take(texts[5]);
  if (status < -1) {
    throw usage_error(poptStrerror(status), kHelpRemedy);
  }
  const char** rest = poptGetArgs(context.get());
  if (rest == nullptr) {
    throw usage_error("no command", kHelpRemedy);
  }
  options.command = *rest++;
  for (; *rest != nullptr; ++rest) {
    options.files.emplace_back(*rest);
  }
  return options;
}

std::vector<endpoint> ParseList(const std::string& text) {
  std::vector<endpoint> addresses;
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) {
    addresses.push_back(ParseEndpoint(part, "address"));
  }
  return addresses;
}

soak_targets TargetsOf(const cli_options& options) {
  soak_targets targets;
  const std::vector<endpoint> callers = ParseList(options.callers);
  const std::vector<endpoint> operators = ParseList(options.operators);
  if (callers.empty() || callers.size() != operators.size()) {
    throw usage_error("callers' and operators' addresses do not pair",
                      kHelpRemedy);
  }
  for (size_t index = 0; index < callers.size(); ++index) {
    targets.nodes.push_back({"node-" + std::to_string(index + 1),
                             callers[index], operators[index]});
  }
  targets.engines = ParseList(options.engines);
  targets.services = ParseList(options.services);
  if (targets.engines.empty() || targets.services.empty()) {
    throw usage_error("no engines or no services", kHelpRemedy);
  }
  targets.platform = ParseEndpoint(options.platform, "--platform");
  targets.caller_key = kSoakKey;
  return targets;
}

int RunTargets(const cli_options& options) {
  std::ofstream out(options.out);
  if (!out) {
    throw usage_error("cannot write " + options.out, kHelpRemedy);
  }
  event_loop loop;
  http_client client(loop);
  soak_options soak;
  soak.seed = static_cast<uint64_t>(options.seed);
  soak.duration = std::chrono::seconds(options.seconds);
  soak.callers = kDefaultCallers;
  soak.flood_callers = kDefaultFlood;
  soak_run run(loop, client, TargetsOf(options), soak,
               [](const std::string& line) {
                 std::cerr << WallNowMs() << " " << line << "\n";
               });
  WriteJsonLines(run.Run(), out);
  return kSoakClean;
}

const char* NameOf(request_outcome outcome) {
  switch (outcome) {
    case request_outcome::kAnswered:
      return "answered";
    case request_outcome::kNotRun:
      return "not run";
    case request_outcome::kRan:
      return "ran";
    case request_outcome::kUnknown:
      return "unknown";
    case request_outcome::kUpstreamError:
      return "upstream's error";
    case request_outcome::kNotSent:
      return "not sent";
    case request_outcome::kNone:
      return "no outcome";
  }
  return "";
}

void PrintCounts(const run_history& history) {
  std::map<std::string, size_t> outcomes;
  for (const request_event& request : history.requests) {
    ++outcomes[NameOf(request.outcome)];
  }
  std::cout << "requests " << history.requests.size();
  for (const auto& [name, count] : outcomes) {
    std::cout << ", " << name << " " << count;
  }
  size_t accepted = 0;
  for (const edit_event& edit : history.edits) {
    accepted += edit.verdict == edit_verdict::kAccepted ? 1 : 0;
  }
  std::cout << "\nedits " << history.edits.size() << ", accepted " << accepted
            << "; readings " << history.readings.size() << "; process events "
            << history.nodes.size() << "; leaves " << history.leaves.size()
            << "; orders " << history.orders.size() << "\n";
}

int CheckFiles(const cli_options& options) {
  run_history history;
  for (const std::string& name : options.files) {
    std::ifstream in(name);
    if (!in) {
      throw usage_error("cannot read " + name, kHelpRemedy);
    }
    ReadJsonLines(in, history);
  }
  if (history.requests.empty()) {
    throw usage_error("no request in the history", kHelpRemedy);
  }
  PrintCounts(history);
  const violations found = CheckAll(history);
  for (size_t index = 0; index < found.size() && index < kMaxPrinted; ++index) {
    std::cout << "violation: " << found[index].check << " of "
              << found[index].subject << ": " << found[index].detail << "\n";
  }
  std::cout << "violations " << found.size() << "\n";
  return found.empty() ? kSoakClean : kSoakViolation;
}

}  // namespace

int RunSoakCli(int argc, const char** argv) {
  const cli_options options = ParseOptions(argc, argv);
  if (options.command == "run") {
    return RunTargets(options);
  }
  if (options.command == "check") {
    return CheckFiles(options);
  }
  throw usage_error("unknown command " + options.command, kHelpRemedy);
}

}  // namespace skylarkcroft::history

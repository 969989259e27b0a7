#include "load/skylarkcroft_load_cli.h"

#include <popt.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "load/skylarkcroft_comparison.h"
#include "load/skylarkcroft_experiment_definition.h"
#include "load/skylarkcroft_load_generator.h"
#include "load/skylarkcroft_load_result.h"
#include "load/skylarkcroft_request_plan.h"
#include "load/skylarkcroft_result_plot.h"
#include "load/skylarkcroft_run_summary.h"
#include "load/skylarkcroft_upstream_poll.h"
#include "skylarkcroft/internal/skylarkcroft_digest.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft::load {
namespace {

constexpr int kExitFaults = 1;
constexpr int kExitUsage = 2;
constexpr int kJsonIndent = 2;

constexpr std::string_view kUsage =
    "usage: skylarkcroft_load COMMAND [OPTIONS]\n"
    "  run DEFINITION --node IP:PORT,...   sends the load, prints a table\n"
    "  compare RESULT RESULT...            prints results side by side\n"
    "  summary RESULT...                   prints the counts as one JSON line\n"
    "  callers DEFINITION                  prints the callers of a routes "
    "table\n"
    "  COMMAND --help                      lists the options\n";

/// A file or argument that cannot be used.
class usage_error : public error {
 public:
  using error::error;
};

struct load_options {
  std::vector<std::string> arguments;
  std::string nodes;
  std::string upstreams;
  std::string json_file;
  std::string svg_file;
  std::string label;
  int duration_s = 0;
  bool progress = false;
  bool quiet = false;
};

std::string Take(char* value) {
  std::string text = value == nullptr ? "" : value;
  free(value);
  return text;
}

struct popt_closer {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

load_options ParseOptions(int argc, const char** argv) {
  char* nodes = nullptr;
  char* upstreams = nullptr;
  char* json_file = nullptr;
  char* svg_file = nullptr;
  char* label = nullptr;
  int duration_s = 0;
  int progress = 0;
  int quiet = 0;
  const poptOption table[] = {
      {"node", 'n', POPT_ARG_STRING, &nodes, 0,
       "nodes that requests are spread over, loopback only", "IP:PORT,..."},
      {"upstream", 'u', POPT_ARG_STRING, &upstreams, 0,
       "upstream stand-ins whose counters go into the result", "IP:PORT,..."},
      {"json", 'j', POPT_ARG_STRING, &json_file, 0, "write the result here",
       "FILE"},
      {"svg", 's', POPT_ARG_STRING, &svg_file, 0, "write a plot here", "FILE"},
      {"label", 'l', POPT_ARG_STRING, &label, 0, "name of the measured variant",
       "NAME"},
      {"duration-s", 'd', POPT_ARG_INT, &duration_s, 0,
       "run this long instead; phases stretch in proportion", "N"},
      {"progress", 'p', POPT_ARG_NONE, &progress, 0,
       "show a progress line on standard error", nullptr},
      {"quiet", 'q', POPT_ARG_NONE, &quiet, 0, "print no table", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, popt_closer> context(
      poptGetContext("skylarkcroft_load", argc, argv, table, 0));
  poptSetOtherOptionHelp(context.get(), "[OPTIONS] FILE...");
  const int code = poptGetNextOpt(context.get());
  load_options options;
  options.nodes = Take(nodes);
  options.upstreams = Take(upstreams);
  options.json_file = Take(json_file);
  options.svg_file = Take(svg_file);
  options.label = Take(label);
  options.duration_s = duration_s;
  options.progress = progress != 0;
  options.quiet = quiet != 0;
  if (code < -1) {
    throw usage_error(std::string(poptBadOption(context.get(), 0)) + ": " +
                          poptStrerror(code),
                      "see --help");
  }
  while (const char* argument = poptGetArg(context.get())) {
    options.arguments.emplace_back(argument);
  }
  return options;
}

nlohmann::json ReadJsonFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw usage_error("cannot read " + path, "check the path");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseJson(text.str());
}

void WriteFile(const std::string& path, const std::string& text) {
  if (path.empty()) {
    return;
  }
  std::ofstream file(path);
  file << text;
  file.close();
  if (!file) {
    throw usage_error("cannot write " + path,
                      "check that the folder exists and has room");
  }
}

experiment_definition ReadDefinition(const load_options& options) {
  experiment_definition definition =
      ParseDefinition(ReadJsonFile(options.arguments.front()));
  if (!options.nodes.empty()) {
    definition.nodes = ParseNodes(options.nodes, "--node");
  }
  if (options.duration_s > 0) {
    definition = ScaledTo(definition, std::chrono::seconds(options.duration_s));
  }
  return definition;
}

void ShowProgress(const load_progress& progress) {
  using std::chrono::duration_cast;
  const auto elapsed = duration_cast<std::chrono::seconds>(progress.elapsed);
  std::cerr << '\r' << elapsed.count() << " s: " << progress.sent << " sent, "
            << progress.ended << " ended, " << progress.in_flight
            << " in flight   " << std::flush;
}

int Run(const load_options& options, const token_text_fn& token_text) {
  if (options.arguments.size() != 1) {
    throw usage_error("run takes one definition", "see run --help");
  }
  event_loop loop;
  const std::vector<endpoint> upstreams =
      ParseNodes(options.upstreams, "--upstream");
  const std::vector<upstream_stats> before = ReadUpstreamStats(loop, upstreams);
  load_hooks hooks{SteadyNow, token_text, {}};
  if (options.progress) {
    hooks.on_progress = ShowProgress;
  }
  load_generator generator(loop, ReadDefinition(options),
                           std::to_string(WallNowMs()), std::move(hooks));
  generator.Start([&] { loop.Stop(); });
  loop.Run();
  if (options.progress) {
    std::cerr << '\n';
  }
  load_result result = generator.Result();
  result.label = options.label;
  result.upstreams = Summarize(before, ReadUpstreamStats(loop, upstreams));
  if (!options.quiet) {
    std::cout << ToText(result);
  }
  WriteFile(options.json_file, ToJson(result).dump(kJsonIndent) + "\n");
  WriteFile(options.svg_file, PlotResults({result}));
  const run_summary summary = SummaryOf({result});
  return summary.lost + summary.wrong > 0 ? kExitFaults : 0;
}

std::vector<load_result> ReadResults(const load_options& options) {
  std::vector<load_result> results;
  for (const std::string& path : options.arguments) {
    results.push_back(ParseResult(ReadJsonFile(path)));
  }
  return results;
}

int PrintSummary(const load_options& options) {
  if (options.arguments.empty()) {
    throw usage_error("summary takes one result or more", "see summary --help");
  }
  const run_summary summary = SummaryOf(ReadResults(options));
  std::cout << ToJson(summary).dump() << "\n";
  return summary.Ok() ? 0 : kExitFaults;
}

int PrintCallers(const load_options& options) {
  if (options.arguments.size() != 1) {
    throw usage_error("callers takes one definition", "see callers --help");
  }
  nlohmann::json callers = nlohmann::json::array();
  for (const caller_group& group : ReadDefinition(options).groups) {
    for (int caller = 1; caller <= group.callers; ++caller) {
      const std::string key = CallerKey(group, caller);
      const nlohmann::json entry = {{"name", key},
                                    {"key_sha256", {Sha256Hex(key)}}};
      if (std::find(callers.begin(), callers.end(), entry) == callers.end()) {
        callers.push_back(entry);
      }
    }
  }
  std::cout << callers.dump(kJsonIndent) << "\n";
  return 0;
}

int CompareFiles(const load_options& options) {
  if (options.arguments.size() < 2) {
    throw usage_error("compare takes two results or more",
                      "see compare --help");
  }
  const std::vector<load_result> results = ReadResults(options);
  const comparison compared = Compare(results);
  if (!options.quiet) {
    std::cout << ToText(compared);
  }
  WriteFile(options.json_file, ToJson(compared).dump(kJsonIndent) + "\n");
  WriteFile(options.svg_file, PlotResults(results));
  return 0;
}

}  // namespace

int RunLoadCli(int argc, const char** argv, const token_text_fn& token_text) {
  const std::string_view command = argc > 1 ? argv[1] : "";
  try {
    if (command == "run") {
      return Run(ParseOptions(argc - 1, argv + 1), token_text);
    }
    if (command == "callers") {
      return PrintCallers(ParseOptions(argc - 1, argv + 1));
    }
    if (command == "summary") {
      return PrintSummary(ParseOptions(argc - 1, argv + 1));
    }
    if (command == "compare") {
      return CompareFiles(ParseOptions(argc - 1, argv + 1));
    }
  } catch (const error& failure) {
    std::cerr << "skylarkcroft_load: " << failure.what() << "\n";
    return kExitUsage;
  }
  if (command == "--help") {
    std::cout << kUsage;
    return 0;
  }
  std::cerr << kUsage;
  return kExitUsage;
}

}  // namespace skylarkcroft::load

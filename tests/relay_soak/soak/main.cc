#include <cstdint>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "skylarkcroft/cli/skylarkcroft_option_parser.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "tests/relay_soak/soak_run.h"

namespace skylarkcroft::soak {
namespace {

constexpr int kSound = 0;
constexpr int kBroken = 1;
constexpr int kUsage = 2;
constexpr int kMillisPerSecond = 1000;

struct soak_options {
  std::string program = "build/src/skylarkcroft";
  std::string folder = "build/relay-soak";
  std::string first_seed = "1";
  std::string seeds = "1";
  std::string seconds = "12";
  std::string nodes = "4";
  std::string clients = "24";
  bool planned = false;
  bool pauses = false;
};

soak_options Parse(const std::vector<std::string>& arguments) {
  soak_options options;
  option_parser parser("skylarkcroft_relay_soak", "[OPTIONS]");
  parser.AddString("program", "FILE", "the built program", &options.program);
  parser.AddString("out", "FOLDER", "settings and logs", &options.folder);
  parser.AddString("seed", "N", "first seed", &options.first_seed);
  parser.AddString("seeds", "N", "number of seeds", &options.seeds);
  parser.AddString("seconds", "N", "time with faults", &options.seconds);
  parser.AddString("nodes", "N", "relay processes", &options.nodes);
  parser.AddString("clients", "N", "clients at a time", &options.clients);
  parser.AddFlag("planned", "only signals, drains and changes",
                 &options.planned);
  parser.AddFlag("pauses", "sound upstreams pause", &options.pauses);
  if (!parser.Parse(arguments).empty()) {
    std::cerr << parser.Help();
    throw config_error("arguments", "unexpected", "see the usage");
  }
  return options;
}

int Run(const soak_options& options) {
  const auto first = static_cast<uint32_t>(std::stoul(options.first_seed));
  const auto count = static_cast<uint32_t>(std::stoul(options.seeds));
  int verdict = kSound;
  for (uint32_t seed = first; seed < first + count; ++seed) {
    soak_terms terms;
    terms.program = options.program;
    terms.folder = options.folder + "/seed-" + std::to_string(seed);
    std::filesystem::create_directories(terms.folder);
    terms.seed = seed;
    terms.span = milliseconds(kMillisPerSecond * std::stoi(options.seconds));
    terms.nodes = std::stoul(options.nodes);
    terms.clients = std::stoul(options.clients);
    terms.planned_only = options.planned;
    terms.pauses = options.pauses;
    const soak_verdict seen = RunSoak(terms);
    std::cout << "seed " << seed << (options.planned ? " planned" : "")
              << (options.pauses ? " pauses" : "") << ": " << seen.requests
              << " requests, " << seen.served << " served, " << seen.runs
              << " runs, " << seen.faults.size() << " faults, "
              << seen.violations.size() << " violations" << std::endl;
    for (const std::string& line : seen.violations) {
      std::cout << "  broken: " << line << "\n";
    }
    if (!seen.violations.empty()) {
      verdict = kBroken;
      for (const std::string& line : seen.faults) {
        std::cout << "  done: " << line << "\n";
      }
    }
  }
  return verdict;
}

}  // namespace
}  // namespace skylarkcroft::soak

int main(int argc, const char** argv) {
  try {
    return skylarkcroft::soak::Run(
        skylarkcroft::soak::Parse({argv + 1, argv + argc}));
  } catch (const std::exception& failure) {
    std::cerr << "skylarkcroft_relay_soak: " << failure.what() << "\n";
    return skylarkcroft::soak::kUsage;
  }
}

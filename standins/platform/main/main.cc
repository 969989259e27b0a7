#include <popt.h>

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "standins/platform/skylarkcroft_platform_standin.h"

namespace skylarkcroft::standin {
namespace {

constexpr int kUsageError = 2;

// What the command line sets, in the types of popt.
struct command_line {
  const char* listen = "127.0.0.1:0";
  int seed = 1;
  int host_list_lag_ms = 0;
  double writes_per_s = 0;
  double reads_per_s = 0;
  double weights_per_s = 0;
  int start_delay_ms = 0;
};

// Returns the status of popt: -1 after the last option, else an error.
int Parse(int argc, const char** argv, command_line& values) {
  const auto shows_default = POPT_ARGFLAG_SHOW_DEFAULT;
  const poptOption options[] = {
      {"listen", 0, POPT_ARG_STRING | shows_default, &values.listen, 0,
       "address to serve on; port 0 takes a free one", "IP:PORT"},
      {"seed", 0, POPT_ARG_INT | shows_default, &values.seed, 0,
       "seed of the faults' generators", "N"},
      {"host-list-lag-ms", 0, POPT_ARG_INT | shows_default,
       &values.host_list_lag_ms, 0, "lag of the host list", "MS"},
      {"writes-per-s", 0, POPT_ARG_DOUBLE | shows_default, &values.writes_per_s,
       0, "writes that each store takes; 0 is no limit", "N"},
      {"reads-per-s", 0, POPT_ARG_DOUBLE | shows_default, &values.reads_per_s,
       0, "reads that each store takes; 0 is no limit", "N"},
      {"weights-per-s", 0, POPT_ARG_DOUBLE | shows_default,
       &values.weights_per_s, 0, "fetches of weights; 0 is no limit", "N"},
      {"start-delay-ms", 0, POPT_ARG_INT | shows_default,
       &values.start_delay_ms, 0, "time until a cloud host runs", "MS"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("skylarkcroft_platform_standin", argc, argv, options, 0);
  const int status = poptGetNextOpt(context);
  if (status < -1) {
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(status)
              << "; see --help\n";
  }
  poptFreeContext(context);
  return status;
}

platform_options ToOptions(const command_line& values) {
  platform_options options;
  options.listen = ParseEndpoint(values.listen, "--listen");
  options.seed = static_cast<uint64_t>(values.seed);
  options.host_list_lag = milliseconds(values.host_list_lag_ms);
  options.writes_per_s = values.writes_per_s;
  options.reads_per_s = values.reads_per_s;
  options.weights_per_s = values.weights_per_s;
  options.start_delay = milliseconds(values.start_delay_ms);
  return options;
}

int Run(const platform_options& options) {
  event_loop loop;
  const platform_standin platform(loop, options);
  const auto end = loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  const nlohmann::json line = {{"listening", ToString(platform.address())}};
  std::cout << line.dump() << std::endl;
  loop.Run();
  return 0;
}

int Main(int argc, const char** argv) {
  command_line values;
  if (Parse(argc, argv, values) < -1) {
    return kUsageError;
  }
  try {
    return Run(ToOptions(values));
  } catch (const error& failure) {
    std::cerr << failure.what() << "\n";
    return kUsageError;
  }
}

}  // namespace
}  // namespace skylarkcroft::standin

int main(int argc, const char** argv) {
  return skylarkcroft::standin::Main(argc, argv);
}

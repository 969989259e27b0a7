#include <popt.h>

#include <array>
#include <memory>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "standins/common/standin_main.h"
#include "standins/plain_service/plain_service_standin.h"

namespace skylarkcroft::standin {
namespace {

/// The command line as popt fills it in; times in milliseconds.
struct plain_service_arguments {
  standin_listen listen;
  int service_ms = 5;
  int slots = 64;
  int max_waiting = 1024;
  int load_lag_ms = 500;
};

using option_table = std::array<poptOption, 10>;

option_table MakeTable(plain_service_arguments& read) {
  return {
      MakeOption("listen", POPT_ARG_STRING, &read.listen.ip, "address", "IP"),
      MakeOption("first-port", POPT_ARG_INT, &read.listen.first_port,
                 "port of the first service; 0 takes free ports", "PORT"),
      MakeOption("count", POPT_ARG_INT, &read.listen.count, "services", "N"),
      MakeOption("seed", POPT_ARG_LONGLONG, &read.listen.seed,
                 "seed of the first service's random choices", "N"),
      MakeOption("service-ms", POPT_ARG_INT, &read.service_ms,
                 "time that one run takes", "MS"),
      MakeOption("slots", POPT_ARG_INT, &read.slots, "runs at once", "N"),
      MakeOption("max-waiting", POPT_ARG_INT, &read.max_waiting,
                 "requests that may wait for a slot", "N"),
      MakeOption("load-lag-ms", POPT_ARG_INT, &read.load_lag_ms,
                 "age of load reports", "MS"),
      {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
       "Help options:", nullptr},
      POPT_TABLEEND,
  };
}

void Check(const plain_service_arguments& read) {
  constexpr double kMaxCount = 1000000;
  CheckListen(read.listen);
  CheckRange("service-ms", read.service_ms, 0, kMaxCount);
  CheckRange("slots", read.slots, 1, kMaxCount);
  CheckRange("max-waiting", read.max_waiting, 0, kMaxCount);
  CheckRange("load-lag-ms", read.load_lag_ms, 0, kMaxCount);
}

plain_service_options MakeOptions(const plain_service_arguments& read,
                                  int index) {
  plain_service_options options;
  options.listen = read.listen.Address(index);
  options.seed = read.listen.Seed(index);
  options.service_time = milliseconds(read.service_ms);
  options.slots = read.slots;
  options.max_waiting = read.max_waiting;
  options.load_lag = milliseconds(read.load_lag_ms);
  return options;
}

int Serve(const plain_service_arguments& read) {
  event_loop loop;
  std::vector<std::unique_ptr<plain_service_standin>> services;
  std::vector<endpoint> listening;
  for (int i = 0; i < read.listen.count; ++i) {
    services.push_back(std::make_unique<plain_service_standin>(
        loop, MakeOptions(read, i), SteadyNow));
    listening.push_back(services.back()->address());
  }
  return ServeUntilSignal(loop, listening);
}

int Run(int argc, const char** argv) {
  plain_service_arguments read;
  const option_table table = MakeTable(read);
  return RunStandin(argc, argv, table.data(), [&read] {
    Check(read);
    return Serve(read);
  });
}

}  // namespace
}  // namespace skylarkcroft::standin

int main(int argc, const char** argv) {
  return skylarkcroft::standin::Run(argc, argv);
}

#include <popt.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "standins/common/standin_main.h"
#include "standins/engine/engine_standin.h"

namespace skylarkcroft::standin {
namespace {

/// The command line as popt fills it in; times in milliseconds.
struct engine_arguments {
  standin_listen listen;
  int slots = 16;
  int max_waiting = 256;
  int first_token_ms = 50;
  int token_ms = 30;
  double prefill_tokens_per_s = 8000;
  int64_t prefix_cache_tokens = 65536;
  int load_lag_ms = 500;
  int event_lag_ms = 500;
  double event_loss = 0;
  int model_load_ms = 2000;
  const char* fencing = "checked";
  const char* model = "";
  const char* availability_zone = "";
};

using option_table = std::array<poptOption, 20>;

option_table MakeTable(engine_arguments& read) {
  return {
      MakeOption("listen", POPT_ARG_STRING, &read.listen.ip, "address", "IP"),
      MakeOption("first-port", POPT_ARG_INT, &read.listen.first_port,
                 "port of the first engine; 0 takes free ports", "PORT"),
      MakeOption("count", POPT_ARG_INT, &read.listen.count, "engines", "N"),
      MakeOption("seed", POPT_ARG_LONGLONG, &read.listen.seed,
                 "seed of the first engine's random choices", "N"),
      MakeOption("slots", POPT_ARG_INT, &read.slots, "requests run at once",
                 "N"),
      MakeOption("max-waiting", POPT_ARG_INT, &read.max_waiting,
                 "requests that may wait for a slot", "N"),
      MakeOption("first-token-ms", POPT_ARG_INT, &read.first_token_ms,
                 "time to the first token beside the prefill", "MS"),
      MakeOption("token-ms", POPT_ARG_INT, &read.token_ms,
                 "time between tokens with all slots taken", "MS"),
      MakeOption("prefill-tokens-per-s", POPT_ARG_DOUBLE,
                 &read.prefill_tokens_per_s, "speed of the prefill", "RATE"),
      MakeOption("prefix-cache-tokens", POPT_ARG_LONGLONG,
                 &read.prefix_cache_tokens, "size of the prefix cache", "N"),
      MakeOption("load-lag-ms", POPT_ARG_INT, &read.load_lag_ms,
                 "age of load reports", "MS"),
      MakeOption("event-lag-ms", POPT_ARG_INT, &read.event_lag_ms,
                 "delay of cache events", "MS"),
      MakeOption("event-loss", POPT_ARG_DOUBLE, &read.event_loss,
                 "share of cache events lost", "0..1"),
      MakeOption("model-load-ms", POPT_ARG_INT, &read.model_load_ms,
                 "time to load a model", "MS"),
      MakeOption("fencing", POPT_ARG_STRING, &read.fencing,
                 "whether orders with an old fence are refused",
                 "checked|ignored"),
      MakeOption("model", POPT_ARG_STRING, &read.model,
                 "model loaded at first; empty serves any name", "NAME"),
      MakeOption("availability-zone", POPT_ARG_STRING, &read.availability_zone,
                 "zone that reports name", "ZONE"),
      {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
       "Help options:", nullptr},
      POPT_TABLEEND,
      POPT_TABLEEND,
  };
}

void Check(const engine_arguments& read) {
  constexpr double kMaxCount = 1000000;
  CheckListen(read.listen);
  CheckRange("slots", read.slots, 1, kMaxCount);
  CheckRange("max-waiting", read.max_waiting, 0, kMaxCount);
  CheckRange("first-token-ms", read.first_token_ms, 0, kMaxCount);
  CheckRange("token-ms", read.token_ms, 1, kMaxCount);
  CheckRange("prefill-tokens-per-s", read.prefill_tokens_per_s, 1,
             kMaxCount * kMaxCount);
  CheckRange("prefix-cache-tokens",
             static_cast<double>(read.prefix_cache_tokens), 0,
             kMaxCount * kMaxCount);
  CheckRange("load-lag-ms", read.load_lag_ms, 0, kMaxCount);
  CheckRange("event-lag-ms", read.event_lag_ms, 0, kMaxCount);
  CheckRange("event-loss", read.event_loss, 0, 1);
  CheckRange("model-load-ms", read.model_load_ms, 0, kMaxCount);
  const std::string fencing = read.fencing;
  if (fencing != "checked" && fencing != "ignored") {
    throw config_error("--fencing", "'" + fencing + "' is not a choice",
                       "use checked or ignored");
  }
}

engine_options MakeOptions(const engine_arguments& read, int index) {
  engine_options options;
  options.listen = read.listen.Address(index);
  options.seed = read.listen.Seed(index);
  options.speeds = {read.slots, milliseconds(read.first_token_ms),
                    milliseconds(read.token_ms), read.prefill_tokens_per_s};
  options.max_waiting = read.max_waiting;
  options.prefix_cache_tokens = read.prefix_cache_tokens;
  options.load_lag = milliseconds(read.load_lag_ms);
  options.event_lag = milliseconds(read.event_lag_ms);
  options.event_loss = read.event_loss;
  options.model_load_time = milliseconds(read.model_load_ms);
  options.fencing = read.fencing == std::string("checked")
                        ? fencing_mode::kChecked
                        : fencing_mode::kIgnored;
  options.model = read.model;
  options.availability_zone = read.availability_zone;
  return options;
}

int Serve(const engine_arguments& read) {
  event_loop loop;
  std::vector<std::unique_ptr<engine_standin>> engines;
  std::vector<endpoint> listening;
  for (int i = 0; i < read.listen.count; ++i) {
    engines.push_back(std::make_unique<engine_standin>(
        loop, MakeOptions(read, i), SteadyNow));
    listening.push_back(engines.back()->address());
  }
  return ServeUntilSignal(loop, listening);
}

int Run(int argc, const char** argv) {
  engine_arguments read;
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

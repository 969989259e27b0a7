#ifndef SKYLARKCROFT_STANDINS_COMMON_STANDIN_MAIN_H_
#define SKYLARKCROFT_STANDINS_COMMON_STANDIN_MAIN_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"

struct poptOption;

namespace skylarkcroft {
class event_loop;
}  // namespace skylarkcroft

namespace skylarkcroft::standin {

/// Exit statuses of the stand-in programs.
constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitNetwork = 3;

/// Options that every stand-in program has.
struct standin_listen {
  const char* ip = "127.0.0.1";
  int first_port = 0;
  int count = 1;
  int64_t seed = 1;

  /// Address of stand-in `index`; a first port of 0 takes free ports.
  [[nodiscard]] endpoint Address(int index) const;
  /// Seed of stand-in `index`.
  [[nodiscard]] uint64_t Seed(int index) const;
};

/// A long option for RunStandin(); `type` is a POPT_ARG_ value.
poptOption MakeOption(const char* name, int type, void* target,
                      const char* help, const char* value);

/// Throws config_error when option `name` is below `min` or above `max`.
void CheckRange(const char* name, double value, double min, double max);
void CheckListen(const standin_listen& listen);

/// Reads the command line into the variables that `options` points to and
/// returns what `serve` returns, or an exit status after printing an error.
int RunStandin(int argc, const char** argv, const poptOption* options,
               const std::function<int()>& serve);

/// Prints `{"listening":["IP:PORT",...]}` on standard output and runs the loop
/// until SIGTERM or SIGINT.
int ServeUntilSignal(event_loop& loop, const std::vector<endpoint>& listening);

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_COMMON_STANDIN_MAIN_H_

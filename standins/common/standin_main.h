#ifndef SKYLARKCROFT_STANDINS_COMMON_STANDIN_MAIN_H_
#define SKYLARKCROFT_STANDINS_COMMON_STANDIN_MAIN_H_

#include <cstdint>
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

/// Reads the command line into the variables that `options` points to. Returns
/// false after printing what is wrong.
bool ReadOptions(int argc, const char** argv, const poptOption* options);

/// Prints `{"listening":["IP:PORT",...]}` on standard output and runs the loop
/// until SIGTERM or SIGINT.
int ServeUntilSignal(event_loop& loop, const std::vector<endpoint>& listening);

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_COMMON_STANDIN_MAIN_H_

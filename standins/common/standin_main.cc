#include "standins/common/standin_main.h"

#include <popt.h>

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft::standin {

namespace {

/// Returns false after printing what is wrong.
bool ReadOptions(int argc, const char** argv, const poptOption* options) {
  poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
  const int failure = poptGetNextOpt(context);
  const char* extra = poptPeekArg(context);
  bool read = true;
  if (failure < -1) {
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(failure)
              << "; see --help\n";
    read = false;
  } else if (extra != nullptr) {
    std::cerr << extra << ": unexpected argument; see --help\n";
    read = false;
  }
  poptFreeContext(context);
  return read;
}

}  // namespace

endpoint standin_listen::Address(int index) const {
  const int port = first_port == 0 ? 0 : first_port + index;
  return {ip, static_cast<uint16_t>(port)};
}

uint64_t standin_listen::Seed(int index) const {
  return static_cast<uint64_t>(seed) + static_cast<uint64_t>(index);
}

poptOption MakeOption(const char* name, int type, void* target,
                      const char* help, const char* value) {
  return {name, '\0', type | POPT_ARGFLAG_SHOW_DEFAULT, target, 0, help, value};
}

void CheckRange(const char* name, double value, double min, double max) {
  if (value < min || value > max) {
    throw config_error(std::string("--") + name, "is out of range",
                       "use a value from " + std::to_string(min) + " to " +
                           std::to_string(max));
  }
}

void CheckListen(const standin_listen& listen) {
  constexpr double kMaxPort = 65535;
  CheckRange("count", listen.count, 1, kMaxPort);
  CheckRange("first-port", listen.first_port, 0, kMaxPort - listen.count);
}

int RunStandin(int argc, const char** argv, const poptOption* options,
               const std::function<int()>& serve) {
  if (!ReadOptions(argc, argv, options)) {
    return kExitUsage;
  }
  try {
    return serve();
  } catch (const config_error& failure) {
    std::cerr << failure.what() << "\n";
    return kExitUsage;
  } catch (const error& failure) {
    std::cerr << failure.what() << "\n";
    return kExitNetwork;
  }
}

int ServeUntilSignal(event_loop& loop, const std::vector<endpoint>& listening) {
  nlohmann::json addresses = nlohmann::json::array();
  for (const endpoint& address : listening) {
    addresses.push_back(ToString(address));
  }
  const nlohmann::json line = {{"listening", addresses}};
  const auto on_term = loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  const auto on_int = loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  std::cout << line.dump() << std::endl;
  loop.Run();
  return kExitOk;
}

}  // namespace skylarkcroft::standin

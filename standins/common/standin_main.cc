#include "standins/common/standin_main.h"

#include <popt.h>

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft::standin {

endpoint standin_listen::Address(int index) const {
  const int port = first_port == 0 ? 0 : first_port + index;
  return {ip, static_cast<uint16_t>(port)};
}

uint64_t standin_listen::Seed(int index) const {
  return static_cast<uint64_t>(seed) + static_cast<uint64_t>(index);
}

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

#include "skylarkcroft/cli/skylarkcroft_cli.h"

#include <iostream>

namespace skylarkcroft {

int RunCli(int /*argc*/, const char** /*argv*/) {
  std::cout << "skylarkcroft " << SKYLARKCROFT_VERSION << "\n";
  return 0;
}

}  // namespace skylarkcroft

#include <iostream>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "tests/history/soak/skylarkcroft_soak_cli.h"

int main(int argc, const char** argv) {
  try {
    return skylarkcroft::history::RunSoakCli(argc, argv);
  } catch (const skylarkcroft::error& failure) {
    std::cerr << "skylarkcroft_soak: " << failure.what() << "\n";
    return skylarkcroft::history::kSoakFailed;
  }
}

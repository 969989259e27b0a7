#include "platform_run.h"
#include "skylarkcroft/cli/skylarkcroft_cli.h"

int main(int argc, const char** argv) {
  return skylarkcroft::RunCli(argc, argv, skylarkcroft::platform::RunRelay);
}

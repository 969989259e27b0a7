#include "load/skylarkcroft_load_cli.h"

int main(int argc, const char** argv) {
  return skylarkcroft::load::RunLoadCli(argc, argv, {});
}

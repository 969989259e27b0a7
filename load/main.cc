#include "load/skylarkcroft_load_cli.h"
#include "standins/engine/completion_text.h"

int main(int argc, const char** argv) {
  return skylarkcroft::load::RunLoadCli(
      argc, argv,
      [](const std::string& model, const std::string& prompt, int64_t index) {
        return skylarkcroft::standin::TokenText(model, prompt, index);
      });
}

#include "skylarkcroft/node/skylarkcroft_run_node.h"

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"
#include "skylarkcroft/internal/skylarkcroft_read_file.h"
#include "skylarkcroft/log/skylarkcroft_logger.h"
#include "skylarkcroft/node/skylarkcroft_node.h"
#include "skylarkcroft/node/skylarkcroft_settings.h"

namespace skylarkcroft {

int RunNode(const std::string& settings_path) {
  const settings config = ParseSettings(ParseJson(ReadFile(settings_path)));
  event_loop loop;
  log_options options;
  options.level = ParseLogLevel(config.log_level).value_or(log_level::kInfo);
  logger log(loop, options);
  node serving(loop, config, log);
  const auto term = loop.OnSignal(SIGTERM, [&serving] { serving.Shutdown(); });
  const auto interrupt =
      loop.OnSignal(SIGINT, [&serving] { serving.Shutdown(); });
  // Settings are read at the start only, and the tables are polled.
  const auto hang_up = loop.OnSignal(SIGHUP, [] {});
  const nlohmann::json listening = {
      {"callers", ToString(serving.callers_address())},
      {"operators", ToString(serving.operators_address())},
      {"mesh", ToString(serving.mesh_address())}};
  std::cout << listening.dump() << std::endl;
  loop.Run();
  return 0;
}

}  // namespace skylarkcroft

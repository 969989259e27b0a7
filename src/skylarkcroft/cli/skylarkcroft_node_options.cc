#include "skylarkcroft/cli/skylarkcroft_node_options.h"

#include "skylarkcroft/cli/skylarkcroft_cli_errors.h"
#include "skylarkcroft/cli/skylarkcroft_option_parser.h"
#include "skylarkcroft/internal/skylarkcroft_read_file.h"

namespace skylarkcroft {
namespace {

endpoint ParseNode(const std::string& text) {
  try {
    return ParseEndpoint(text, "--node");
  } catch (const config_error& failure) {
    throw usage_error("--node: " + failure.reason(), failure.remedy());
  }
}

std::string ReadKey(const std::string& path) {
  std::string key = ReadFile(path);
  key.erase(key.find_last_not_of(" \t\r\n") + 1);
  return key;
}

}  // namespace

void node_options::AddTo(option_parser& parser) {
  parser.AddString("node", "IP:PORT",
                   "operators' address of a node (default " + node_ + ")",
                   &node_);
  parser.AddString("key-file", "FILE", "file with the operators' bearer key",
                   &key_file_);
}

operators_client node_options::MakeClient() const {
  return {ParseNode(node_), key_file_.empty() ? "" : ReadKey(key_file_)};
}

}  // namespace skylarkcroft

#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_NODE_OPTIONS_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_NODE_OPTIONS_H_

#include <string>

#include "skylarkcroft/cli/skylarkcroft_operators_client.h"

namespace skylarkcroft {

class option_parser;

/// The options that name a node: `--node` and `--key-file`.
class node_options {
 public:
  void AddTo(option_parser& parser);
  /// Throws usage_error for a bad address and file_error for a key file that
  /// cannot be read.
  [[nodiscard]] operators_client MakeClient() const;

 private:
  std::string node_ = "127.0.0.1:8082";
  std::string key_file_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_NODE_OPTIONS_H_

#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_TABLE_COMMAND_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_TABLE_COMMAND_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/cli/skylarkcroft_command.h"
#include "skylarkcroft/cli/skylarkcroft_node_options.h"

namespace skylarkcroft {

/// `routes` and `pools`: reads and edits one of the two tables through any
/// node.
class table_command final : public command {
 public:
  /// `table` is the name of the subcommand and of the table.
  explicit table_command(std::string table);

  [[nodiscard]] std::string name() const override { return table_; }
  [[nodiscard]] std::string summary() const override;
  [[nodiscard]] std::string synopsis() const override;
  [[nodiscard]] std::vector<std::string> choices() const override;
  void AddOptions(option_parser& parser) override;
  exit_code Run(const command_call& call) override;

 private:
  exit_code Get(const command_call& call) const;
  exit_code Put(const command_call& call) const;
  exit_code History(const command_call& call) const;
  exit_code Diff(const command_call& call) const;
  exit_code Rollback(const command_call& call) const;

  [[nodiscard]] std::string Target() const;
  [[nodiscard]] nlohmann::json ReadRevision(const operators_client& node,
                                            int64_t revision) const;
  [[nodiscard]] std::optional<int64_t> BaseRevision() const;
  exit_code Submit(const command_call& call, const operators_client& node,
                   const nlohmann::json& document,
                   std::optional<int64_t> base_revision) const;

  std::string table_;
  node_options node_;
  std::string base_revision_;
  std::string edit_id_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_TABLE_COMMAND_H_

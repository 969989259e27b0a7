#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "load/skylarkcroft_change_model.h"
#include "load/skylarkcroft_text_table.h"

/// Prints what one change of a table costs in each design, for several numbers
/// of nodes. Usage: change_model
namespace skylarkcroft::load {
namespace {

struct named_design {
  std::string_view name;
  change_design design;

  bool operator==(const named_design&) const = default;
};

void PrintTable() {
  const std::vector<named_design> designs = {
      {"each reads", change_design::kEachReads},
      {"watchers send", change_design::kWatchersSend},
      {"gossip", change_design::kGossip}};
  text_table table({"design", "nodes", "store calls", "KB sent by one node",
                    "median ms", "last ms"});
  constexpr double kBytesPerKilobyte = 1000;
  for (const named_design& named : designs) {
    for (const size_t nodes : {7, 63, 195, 347}) {
      change_model_parameters parameters;
      parameters.nodes = nodes;
      const change_cost cost = PlayChange(named.design, parameters);
      table.AddRow({std::string(named.name), std::to_string(nodes),
                    std::to_string(cost.store_calls),
                    Decimal(static_cast<double>(cost.most_bytes_sent) /
                            kBytesPerKilobyte),
                    std::to_string(cost.median_delay.count()),
                    std::to_string(cost.longest_delay.count())});
    }
  }
  std::cout << table.Render();
}

}  // namespace
}  // namespace skylarkcroft::load

int main() {
  skylarkcroft::load::PrintTable();
  return 0;
}

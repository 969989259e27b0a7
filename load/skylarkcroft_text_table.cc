#include "load/skylarkcroft_text_table.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace skylarkcroft::load {

text_table::text_table(std::vector<std::string> heading) {
  rows_.push_back(std::move(heading));
}

void text_table::AddRow(std::vector<std::string> cells) {
  rows_.push_back(std::move(cells));
}

std::string text_table::Render() const {
  std::vector<size_t> widths(rows_.front().size());
  for (const std::vector<std::string>& row : rows_) {
    for (size_t column = 0; column < widths.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : rows_) {
    for (size_t column = 0; column < widths.size(); ++column) {
      const std::string fill(widths[column] - row[column].size(), ' ');
      text += column == 0 ? row[column] + fill : "  " + fill + row[column];
    }
    text += '\n';
  }
  return text;
}

std::string Decimal(double value, int digits) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << value;
  return text.str();
}

std::string Percent(double share) {
  constexpr double kHundred = 100.0;
  return Decimal(share * kHundred, 1) + "%";
}

}  // namespace skylarkcroft::load

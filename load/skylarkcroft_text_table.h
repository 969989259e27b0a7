#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_TEXT_TABLE_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace skylarkcroft::load {

/// Table for a terminal: the first column flush left, the others flush right.
class text_table {
 public:
  explicit text_table(std::vector<std::string> heading);

  /// `cells` has as many members as the heading.
  void AddRow(std::vector<std::string> cells);
  [[nodiscard]] std::string Render() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

/// `value` with `digits` decimal places.
std::string Decimal(double value, int digits = 1);
/// `share` (0 to 1) in percent.
std::string Percent(double share);

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_TEXT_TABLE_H_

#include "load/skylarkcroft_comparison.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

#include "load/skylarkcroft_text_table.h"

namespace skylarkcroft::load {
namespace {

struct figure {
  std::string_view name;
  double (*read)(const group_result&, double duration_s);
};

double PerSent(int64_t count, const group_result& group) {
  return group.sent == 0
             ? 0
             : static_cast<double>(count) / static_cast<double>(group.sent);
}

double PerSecond(int64_t count, double duration_s) {
  return duration_s <= 0 ? 0 : static_cast<double>(count) / duration_s;
}

constexpr std::array<figure, 16> kFigures = {{
    {"sent", [](const group_result& group,
                double) { return static_cast<double>(group.sent); }},
    {"whole_per_s", [](const group_result& group,
                       double run) { return PerSecond(group.whole, run); }},
    {"tokens_per_s", [](const group_result& group,
                        double run) { return PerSecond(group.tokens, run); }},
    {"whole_share", [](const group_result& group,
                       double) { return PerSent(group.whole, group); }},
    {"target_share",
     [](const group_result& group, double) { return group.TargetShare(); }},
    {"refused_share", [](const group_result& group,
                         double) { return PerSent(group.refused, group); }},
    {"lost_share", [](const group_result& group,
                      double) { return PerSent(group.lost, group); }},
    {"wrong_share", [](const group_result& group,
                       double) { return PerSent(group.wrong, group); }},
    {"first_token_p50_ms", [](const group_result& group,
                              double) { return group.first_token.p50_ms; }},
    {"first_token_p95_ms", [](const group_result& group,
                              double) { return group.first_token.p95_ms; }},
    {"first_token_p99_ms", [](const group_result& group,
                              double) { return group.first_token.p99_ms; }},
    {"between_tokens_p95_ms",
     [](const group_result& group, double) {
       return group.between_tokens.p95_ms;
     }},
    {"total_p50_ms",
     [](const group_result& group, double) { return group.total.p50_ms; }},
    {"total_p95_ms",
     [](const group_result& group, double) { return group.total.p95_ms; }},
    {"total_p99_ms",
     [](const group_result& group, double) { return group.total.p99_ms; }},
    {"fairness",
     [](const group_result& group, double) { return group.Fairness(); }},
}};

const group_result* Find(const load_result& result, const std::string& name) {
  for (const group_result& group : result.groups) {
    if (group.name == name) {
      return &group;
    }
  }
  return nullptr;
}

compared_value Read(const load_result& result, const std::string& group_name,
                    const figure& wanted,
                    const std::optional<double>& baseline) {
  const group_result* group = Find(result, group_name);
  if (group == nullptr) {
    return {};
  }
  compared_value compared;
  compared.value = wanted.read(*group, result.duration_s);
  if (baseline.value_or(0) != 0) {
    compared.ratio = *compared.value / *baseline;
  }
  return compared;
}

comparison_row MakeRow(const std::vector<load_result>& results,
                       const std::string& group, const figure& wanted) {
  comparison_row row{group, std::string(wanted.name), {}};
  const std::optional<double> baseline =
      Read(results.front(), group, wanted, std::nullopt).value;
  for (const load_result& result : results) {
    row.values.push_back(Read(result, group, wanted, baseline));
  }
  return row;
}

nlohmann::json ToJson(const std::optional<double>& value) {
  return value.has_value() ? nlohmann::json(*value) : nlohmann::json(nullptr);
}

std::string Cell(const std::optional<double>& value) {
  constexpr int kDigits = 3;
  return value.has_value() ? Decimal(*value, kDigits) : "-";
}

}  // namespace

comparison Compare(const std::vector<load_result>& results) {
  comparison compared;
  if (results.empty()) {
    return compared;
  }
  for (const load_result& result : results) {
    compared.labels.push_back(result.label.empty() ? result.name
                                                   : result.label);
  }
  for (const group_result& group : results.front().groups) {
    for (const figure& wanted : kFigures) {
      compared.rows.push_back(MakeRow(results, group.name, wanted));
    }
  }
  return compared;
}

std::string ToText(const comparison& compared) {
  std::vector<std::string> heading = {"group", "figure"};
  for (size_t index = 0; index < compared.labels.size(); ++index) {
    heading.push_back(compared.labels[index]);
    if (index > 0) {
      heading.emplace_back("ratio");
    }
  }
  text_table table(std::move(heading));
  for (const comparison_row& row : compared.rows) {
    std::vector<std::string> cells = {row.group, row.figure};
    for (size_t index = 0; index < row.values.size(); ++index) {
      cells.push_back(Cell(row.values[index].value));
      if (index > 0) {
        cells.push_back(Cell(row.values[index].ratio));
      }
    }
    table.AddRow(std::move(cells));
  }
  return table.Render();
}

nlohmann::json ToJson(const comparison& compared) {
  nlohmann::json rows = nlohmann::json::array();
  for (const comparison_row& row : compared.rows) {
    nlohmann::json values = nlohmann::json::array();
    for (const compared_value& each : row.values) {
      values.push_back(
          {{"value", ToJson(each.value)}, {"ratio", ToJson(each.ratio)}});
    }
    rows.push_back(
        {{"group", row.group}, {"figure", row.figure}, {"values", values}});
  }
  return {{"labels", compared.labels}, {"rows", rows}};
}

}  // namespace skylarkcroft::load

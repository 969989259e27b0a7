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

struct upstream_figure {
  std::string_view name;
  double (*read)(const upstream_summary&);
};

constexpr std::array<upstream_figure, 6> kUpstreamFigures = {{
    {"requests",
     [](const upstream_summary& summary) {
       return static_cast<double>(summary.sums.requests);
     }},
    {"prompt_tokens_computed",
     [](const upstream_summary& summary) {
       return static_cast<double>(summary.sums.prefill_tokens);
     }},
    {"prompt_tokens_cached",
     [](const upstream_summary& summary) {
       return static_cast<double>(summary.sums.cached_tokens);
     }},
    {"tokens_generated",
     [](const upstream_summary& summary) {
       return static_cast<double>(summary.sums.generated_tokens);
     }},
    {"repeated_runs",
     [](const upstream_summary& summary) {
       return static_cast<double>(summary.sums.repeated_runs);
     }},
    {"busiest_over_mean",
     [](const upstream_summary& summary) { return summary.busiest_over_mean; }},
}};

const group_result* Find(const load_result& result, const std::string& name) {
  for (const group_result& group : result.groups) {
    if (group.name == name) {
      return &group;
    }
  }
  return nullptr;
}

std::optional<double> Read(const load_result& result, const std::string& name,
                           const figure& wanted) {
  const group_result* group = Find(result, name);
  if (group == nullptr) {
    return std::nullopt;
  }
  return wanted.read(*group, result.duration_s);
}

std::optional<double> Read(const load_result& result,
                           const upstream_figure& wanted) {
  if (result.upstreams.upstreams == 0) {
    return std::nullopt;
  }
  return wanted.read(result.upstreams);
}

void AddValue(comparison_row& row, std::optional<double> value) {
  compared_value compared;
  compared.value = value;
  const double baseline =
      row.values.empty() ? value.value_or(0) : row.values[0].value.value_or(0);
  if (value.has_value() && baseline != 0) {
    compared.ratio = *value / baseline;
  }
  row.values.push_back(compared);
}

comparison_row MakeRow(const std::vector<load_result>& results,
                       const std::string& group, const figure& wanted) {
  comparison_row row{group, std::string(wanted.name), {}};
  for (const load_result& result : results) {
    AddValue(row, Read(result, group, wanted));
  }
  return row;
}

comparison_row MakeRow(const std::vector<load_result>& results,
                       const upstream_figure& wanted) {
  comparison_row row{"(upstreams)", std::string(wanted.name), {}};
  for (const load_result& result : results) {
    AddValue(row, Read(result, wanted));
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
  if (results.front().upstreams.upstreams > 0) {
    for (const upstream_figure& wanted : kUpstreamFigures) {
      compared.rows.push_back(MakeRow(results, wanted));
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

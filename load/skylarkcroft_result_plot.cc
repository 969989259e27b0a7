#include "load/skylarkcroft_result_plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>

#include "load/skylarkcroft_svg_document.h"
#include "load/skylarkcroft_text_table.h"

namespace skylarkcroft::load {
namespace {

constexpr double kLabelWidth = 260;
constexpr double kLatencyWidth = 420;
constexpr double kShareWidth = 240;
constexpr double kGap = 30;
constexpr double kTop = 70;
constexpr double kRowHeight = 34;
constexpr double kRightMargin = 70;
constexpr double kBottom = 30;
constexpr double kDotRadius = 3.5;
constexpr double kLineOffset = 6;
constexpr double kTextOffset = 4;
constexpr double kShareBarHeight = 14;
constexpr double kTargetBarHeight = 4;
constexpr double kSmallestMs = 0.1;
constexpr double kAxisBase = 10.0;

constexpr double kLatencyLeft = kLabelWidth + kGap;
constexpr double kShareLeft = kLatencyLeft + kLatencyWidth + kGap;

constexpr std::string_view kFirstTokenColour = "#1f77b4";
constexpr std::string_view kTotalColour = "#d95f02";
constexpr std::string_view kGridColour = "#dddddd";
constexpr std::string_view kTargetColour = "#222222";

struct share_part {
  std::string_view label;
  std::string_view colour;
  int64_t group_result::*count;
};

constexpr std::array<share_part, 4> kShareParts = {{
    {"whole", "#4daf4a", &group_result::whole},
    {"wrong", "#984ea3", &group_result::wrong},
    {"refused", "#ffb000", &group_result::refused},
    {"lost", "#e41a1c", &group_result::lost},
}};

struct plot_row {
  std::string label;
  const group_result* group;
};

// Rows of one group stand together, so that results are compared line by line.
std::vector<plot_row> Rows(const std::vector<load_result>& results) {
  std::vector<plot_row> rows;
  for (const group_result& wanted : results.front().groups) {
    for (const load_result& result : results) {
      for (const group_result& group : result.groups) {
        if (group.name != wanted.name) {
          continue;
        }
        const std::string label =
            result.label.empty() ? "" : " · " + result.label;
        rows.push_back({group.name + label, &group});
      }
    }
  }
  return rows;
}

class latency_axis {
 public:
  explicit latency_axis(const std::vector<plot_row>& rows) {
    for (const plot_row& row : rows) {
      largest_ms_ = std::max({largest_ms_, row.group->first_token.p99_ms,
                              row.group->total.p99_ms});
    }
    decades_ = std::ceil(std::log10(largest_ms_ / kSmallestMs));
  }

  [[nodiscard]] double X(double ms) const {
    const double decade = std::log10(std::max(ms, kSmallestMs) / kSmallestMs);
    return kLatencyLeft + kLatencyWidth * decade / decades_;
  }

  void Draw(svg_document& drawing, double bottom) const {
    double ms = kSmallestMs;
    for (int decade = 0; decade <= static_cast<int>(decades_); ++decade) {
      drawing.AddLine({X(ms), kTop}, {X(ms), bottom}, kGridColour);
      drawing.AddText({X(ms), kTop - kLineOffset}, svg_anchor::kMiddle,
                      Decimal(ms, ms < 1 ? 1 : 0));
      ms *= kAxisBase;
    }
  }

 private:
  double largest_ms_ = kSmallestMs * kAxisBase;
  double decades_ = 1;
};

void DrawLatencies(svg_document& drawing, const latency_axis& axis, double y,
                   const latency_summary& summary, std::string_view colour) {
  if (summary.count == 0) {
    return;
  }
  drawing.AddLine({axis.X(summary.p50_ms), y}, {axis.X(summary.p99_ms), y},
                  colour);
  for (const double ms : {summary.p50_ms, summary.p95_ms, summary.p99_ms}) {
    drawing.AddCircle({axis.X(ms), y}, kDotRadius, colour);
  }
}

void DrawShares(svg_document& drawing, double y, const group_result& group) {
  if (group.sent == 0) {
    return;
  }
  double x = kShareLeft;
  for (const share_part& part : kShareParts) {
    const double width = kShareWidth * static_cast<double>(group.*part.count) /
                         static_cast<double>(group.sent);
    drawing.AddRectangle({x, y - kShareBarHeight}, {width, kShareBarHeight},
                         part.colour);
    x += width;
  }
  drawing.AddRectangle({kShareLeft, y + 1},
                       {kShareWidth * group.TargetShare(), kTargetBarHeight},
                       kTargetColour);
  drawing.AddText({kShareLeft + kShareWidth + kTextOffset, y},
                  svg_anchor::kStart, Percent(group.TargetShare()));
}

void DrawLegend(svg_document& drawing) {
  constexpr double kTitleY = 20;
  constexpr double kKeyY = 38;
  constexpr double kKeyStep = 62;
  constexpr double kKeySize = 9;
  drawing.AddText({kLatencyLeft, kTitleY}, svg_anchor::kStart,
                  "latency in ms: p50, p95, p99");
  drawing.AddCircle({kLatencyLeft, kKeyY - kTextOffset}, kDotRadius,
                    kFirstTokenColour);
  drawing.AddText({kLatencyLeft + kKeySize, kKeyY}, svg_anchor::kStart,
                  "first token");
  const double total_x = kLatencyLeft + 2 * kKeyStep;
  drawing.AddCircle({total_x, kKeyY - kTextOffset}, kDotRadius, kTotalColour);
  drawing.AddText({total_x + kKeySize, kKeyY}, svg_anchor::kStart,
                  "whole answer");
  drawing.AddText({kShareLeft, kTitleY}, svg_anchor::kStart,
                  "share of requests sent; black: within targets");
  double x = kShareLeft;
  for (const share_part& part : kShareParts) {
    drawing.AddRectangle({x, kKeyY - kKeySize}, {kKeySize, kKeySize},
                         part.colour);
    drawing.AddText({x + kKeySize + kTextOffset, kKeyY}, svg_anchor::kStart,
                    part.label);
    x += kKeyStep;
  }
}

}  // namespace

std::string PlotResults(const std::vector<load_result>& results) {
  if (results.empty()) {
    return svg_document({kLabelWidth, kTop}).Render();
  }
  const std::vector<plot_row> rows = Rows(results);
  const double bottom = kTop + kRowHeight * static_cast<double>(rows.size());
  svg_document drawing(
      {kShareLeft + kShareWidth + kRightMargin, bottom + kBottom});
  const latency_axis axis(rows);
  drawing.AddText({kTextOffset, kTop - kLineOffset}, svg_anchor::kStart,
                  results.front().name);
  DrawLegend(drawing);
  axis.Draw(drawing, bottom);
  double y = kTop + kRowHeight / 2;
  for (const plot_row& row : rows) {
    drawing.AddText({kLabelWidth, y + kTextOffset}, svg_anchor::kEnd,
                    row.label);
    DrawLatencies(drawing, axis, y - kLineOffset, row.group->first_token,
                  kFirstTokenColour);
    DrawLatencies(drawing, axis, y + kLineOffset, row.group->total,
                  kTotalColour);
    DrawShares(drawing, y + kLineOffset, *row.group);
    y += kRowHeight;
  }
  return drawing.Render();
}

}  // namespace skylarkcroft::load

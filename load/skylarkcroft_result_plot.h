#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_RESULT_PLOT_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_RESULT_PLOT_H_

#include <string>
#include <vector>

#include "load/skylarkcroft_load_result.h"

namespace skylarkcroft::load {

/// SVG plot with one row a group and result: quantiles of the first-token and
/// whole-answer latencies on a logarithmic axis, and the shares of requests
/// whole, wrong, refused, lost and within their targets.
std::string PlotResults(const std::vector<load_result>& results);

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_RESULT_PLOT_H_

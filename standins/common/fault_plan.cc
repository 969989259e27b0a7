#include "standins/common/fault_plan.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft::standin {
namespace {

constexpr int_range kTokenRange{0, 1000000000};
constexpr int_range kDelayRangeMs{0, 3600000};
constexpr int_range kCountRange{1, 1000000000};
constexpr number_range kFactorRange{0.001, 100000};
constexpr number_range kProbabilityRange{0, 1};

struct named_mode {
  std::string_view name;
  fault_mode mode;
};

constexpr std::array<named_mode, 10> kModes = {{
    {"none", fault_mode::kNone},
    {"refuse", fault_mode::kRefuse},
    {"error", fault_mode::kError},
    {"hang", fault_mode::kHang},
    {"break_after", fault_mode::kBreakAfter},
    {"silent", fault_mode::kSilent},
    {"slow", fault_mode::kSlow},
    {"lose_answer", fault_mode::kLoseAnswer},
    {"not_run", fault_mode::kNotRun},
    {"late", fault_mode::kLate},
}};

fault_mode ReadMode(const json_reader& reader,
                    const std::vector<fault_mode>& allowed) {
  const std::string name = reader.StringOr("mode", "none");
  std::string choices;
  for (const named_mode& known : kModes) {
    if (std::find(allowed.begin(), allowed.end(), known.mode) ==
        allowed.end()) {
      continue;
    }
    if (known.name == name) {
      return known.mode;
    }
    choices += choices.empty() ? "" : ", ";
    choices += known.name;
  }
  throw config_error(reader.PathOf("mode"),
                     "'" + name + "' is not a fault here",
                     "use one of: " + choices);
}

}  // namespace

fault ParseFault(std::string_view body,
                 const std::vector<fault_mode>& allowed) {
  const nlohmann::json document = ParseJson(body);
  const json_reader reader(
      document, "$",
      {"mode", "tokens", "factor", "delay_ms", "probability", "count"});
  fault parsed;
  parsed.mode = ReadMode(reader, allowed);
  parsed.tokens = reader.IntOr("tokens", kTokenRange, 0);
  parsed.factor = reader.NumberOr("factor", kFactorRange, 1);
  parsed.delay = milliseconds(reader.IntOr("delay_ms", kDelayRangeMs, 0));
  parsed.probability = reader.NumberOr("probability", kProbabilityRange, 1);
  if (reader.Has("count")) {
    parsed.count = reader.Int("count", kCountRange);
  }
  return parsed;
}

fault fault_plan::Draw() {
  if (current_.mode == fault_mode::kNone) {
    return {};
  }
  std::bernoulli_distribution hit(current_.probability);
  if (!hit(generator_)) {
    return {};
  }
  ++hits_;
  const fault drawn = current_;
  if (current_.count.has_value() && --*current_.count == 0) {
    current_ = {};
  }
  return drawn;
}

double fault_plan::factor() const {
  return current_.mode == fault_mode::kSlow ? current_.factor : 1;
}

}  // namespace skylarkcroft::standin

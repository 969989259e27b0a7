#include "skylarkcroft/metrics/skylarkcroft_metrics_registry.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <string_view>
#include <tuple>
#include <utility>

namespace skylarkcroft {
namespace {

bool IsNameCharacter(char c, bool first) {
  const bool letter =
      (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
  const bool digit = c >= '0' && c <= '9';
  return letter || (digit && !first);
}

void CheckName(const std::string& name) {
  bool valid = !name.empty();
  for (size_t index = 0; index < name.size(); ++index) {
    valid = valid && IsNameCharacter(name[index], index == 0);
  }
  if (!valid) {
    throw metric_error("'" + name + "' is not a valid metric or label name",
                       "use letters, digits and underscores");
  }
}

std::vector<metric_label> CheckedLabels(const metric_name& name) {
  std::vector<metric_label> labels = name.labels;
  std::sort(labels.begin(), labels.end());
  const metric_label* previous = nullptr;
  for (const metric_label& label : labels) {
    CheckName(label.key);
    if (previous != nullptr && previous->key == label.key) {
      throw metric_error(
          "label " + label.key + " of " + name.name + " is given twice",
          "give each label once");
    }
    previous = &label;
  }
  return labels;
}

std::string Escape(std::string_view text, bool escape_quotes) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || (c == '"' && escape_quotes)) {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

std::string FormatNumber(double value) {
  if (std::isnan(value)) {
    return "NaN";
  }
  if (std::isinf(value)) {
    return value > 0 ? "+Inf" : "-Inf";
  }
  // Exponents are kept for numbers whose plain form would be long.
  constexpr double kSmallestPlain = 1e-6;
  constexpr double kLargestPlain = 1e15;
  const double size = std::abs(value);
  const bool plain =
      size == 0 || (size >= kSmallestPlain && size <= kLargestPlain);
  constexpr size_t kLongestNumber = 64;
  std::array<char, kLongestNumber> buffer{};
  const auto [end, status] = std::to_chars(
      buffer.data(), buffer.data() + buffer.size(), value,
      plain ? std::chars_format::fixed : std::chars_format::scientific);
  return {buffer.data(), end};
}

double ToSeconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

std::string FormatLabels(const std::vector<metric_label>& labels) {
  std::string text;
  for (const metric_label& label : labels) {
    text += text.empty() ? "{" : ",";
    text += label.key + "=\"" + Escape(label.value, true) + "\"";
  }
  return text.empty() ? text : text + "}";
}

std::string Line(const std::string& name,
                 const std::vector<metric_label>& labels,
                 const std::string& value) {
  return name + FormatLabels(labels) + " " + value + "\n";
}

std::string_view TypeName(const counter&) { return "counter"; }
std::string_view TypeName(const gauge&) { return "gauge"; }
std::string_view TypeName(const latency_histogram&) { return "histogram"; }

std::string RenderMember(const std::string& name,
                         const std::vector<metric_label>& labels,
                         const counter& count) {
  return Line(name, labels, std::to_string(count.value()));
}

std::string RenderMember(const std::string& name,
                         const std::vector<metric_label>& labels,
                         const gauge& present) {
  return Line(name, labels, FormatNumber(present.value()));
}

std::string RenderMember(const std::string& name,
                         const std::vector<metric_label>& labels,
                         const latency_histogram& histogram) {
  std::string text;
  std::vector<metric_label> bounded = labels;
  bounded.push_back({"le", ""});
  for (const latency_bucket& bucket : histogram.Buckets()) {
    bounded.back().value = FormatNumber(ToSeconds(bucket.upper_bound));
    text += Line(name + "_bucket", bounded,
                 std::to_string(bucket.cumulative_count));
  }
  bounded.back().value = "+Inf";
  const std::string count = std::to_string(histogram.count());
  text += Line(name + "_bucket", bounded, count);
  text += Line(name + "_sum", labels, FormatNumber(ToSeconds(histogram.sum())));
  text += Line(name + "_count", labels, count);
  return text;
}

}  // namespace

template <typename kind>
kind& metrics_registry::Find(const metric_name& name) {
  CheckName(name.name);
  std::vector<metric_label> labels = CheckedLabels(name);
  family& owner =
      families_.try_emplace(name.name, family{name.help, {}}).first->second;
  if (!owner.members.empty() &&
      !std::holds_alternative<kind>(owner.members.begin()->second)) {
    throw metric_error("metric " + name.name + " exists as another kind",
                       "give it a name of its own");
  }
  auto found = owner.members.find(labels);
  if (found == owner.members.end()) {
    found = owner.members
                .emplace(std::piecewise_construct,
                         std::forward_as_tuple(std::move(labels)),
                         std::forward_as_tuple(std::in_place_type<kind>))
                .first;
  }
  return std::get<kind>(found->second);
}

counter& metrics_registry::Counter(const metric_name& name) {
  return Find<counter>(name);
}

gauge& metrics_registry::Gauge(const metric_name& name) {
  return Find<gauge>(name);
}

latency_histogram& metrics_registry::LatencyHistogram(const metric_name& name) {
  return Find<latency_histogram>(name);
}

std::string metrics_registry::RenderPrometheus() const {
  std::string text;
  for (const auto& entry : families_) {
    const std::string& name = entry.first;
    const family& owner = entry.second;
    const std::string_view type =
        std::visit([](const auto& member) { return TypeName(member); },
                   owner.members.begin()->second);
    text += "# HELP " + name + " " + Escape(owner.help, false) + "\n";
    text += "# TYPE " + name + " " + std::string(type) + "\n";
    for (const auto& member : owner.members) {
      text += std::visit(
          [&](const auto& present) {
            return RenderMember(name, member.first, present);
          },
          member.second);
    }
  }
  return text;
}

}  // namespace skylarkcroft

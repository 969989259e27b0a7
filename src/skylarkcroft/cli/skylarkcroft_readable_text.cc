#include "skylarkcroft/cli/skylarkcroft_readable_text.h"

#include <nlohmann/json.hpp>

namespace skylarkcroft {
namespace {

std::string Scalar(const nlohmann::json& value) {
  return value.is_string()
             ? value.get<std::string>()
             : value.dump(-1, ' ', false,
                          nlohmann::json::error_handler_t::replace);
}

bool IsNested(const nlohmann::json& value) {
  return value.is_structured() && !value.empty();
}

std::string Render(const nlohmann::json& value, const std::string& indent) {
  if (!IsNested(value)) {
    return indent + Scalar(value) + "\n";
  }
  std::string text;
  for (const auto& item : value.items()) {
    const std::string label =
        value.is_object() ? item.key() + ":" : std::string("-");
    text += indent + label;
    text += IsNested(item.value()) ? "\n" + Render(item.value(), indent + "  ")
                                   : " " + Scalar(item.value()) + "\n";
  }
  return text;
}

}  // namespace

std::string ToReadableText(const nlohmann::json& value) {
  return Render(value, "");
}

std::string ToReadableLine(const nlohmann::json& value) {
  if (!value.is_object()) {
    return Scalar(value);
  }
  std::string line;
  for (const auto& item : value.items()) {
    line += (line.empty() ? "" : " ") + item.key() + "=" + Scalar(item.value());
  }
  return line;
}

}  // namespace skylarkcroft

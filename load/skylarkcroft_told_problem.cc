#include "load/skylarkcroft_told_problem.h"

#include <nlohmann/json.hpp>

namespace skylarkcroft::load {
namespace {

constexpr const char* kUntold = "untold";

std::string TextOr(const nlohmann::json& document, const char* key) {
  const auto found = document.find(key);
  if (found == document.end() || !found->is_string()) {
    return kUntold;
  }
  return found->get<std::string>();
}

}  // namespace

told_problem ParseProblem(std::string_view body) {
  const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return {kUntold, kUntold};
  }
  return {TextOr(document, "reason"), TextOr(document, "run_state")};
}

}  // namespace skylarkcroft::load

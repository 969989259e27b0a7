#include "skylarkcroft/cli/skylarkcroft_edit_report.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

#include "skylarkcroft/cli/skylarkcroft_operators_client.h"

namespace skylarkcroft {
namespace {

struct outcome_code {
  std::string_view outcome;
  exit_code code;
};

constexpr std::array<outcome_code, 5> kOutcomes = {{
    {"accepted", exit_code::kOk},
    {"conflict", exit_code::kConflict},
    {"invalid", exit_code::kInvalidDocument},
    {"rejected", exit_code::kFailure},
    {"unknown", exit_code::kOutcomeUnknown},
}};

constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

const outcome_code* FindOutcome(const nlohmann::json& body) {
  if (!body.is_object()) {
    return nullptr;
  }
  const auto told = body.find("outcome");
  if (told == body.end() || !told->is_string()) {
    return nullptr;
  }
  for (const outcome_code& known : kOutcomes) {
    if (known.outcome == told->get_ref<const std::string&>()) {
      return &known;
    }
  }
  return nullptr;
}

std::string Text(const nlohmann::json& body, const char* key) {
  const auto found = body.find(key);
  if (found == body.end()) {
    return "";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string AcceptedText(const nlohmann::json& body) {
  std::string text = "accepted as revision " + Text(body, "revision");
  const auto pending = body.find("pending");
  if (pending == body.end() || !pending->is_array() || pending->empty()) {
    return text + ", in force on every node";
  }
  text += "; not yet confirmed by";
  for (const nlohmann::json& node : *pending) {
    text += " " + (node.is_string() ? node.get<std::string>() : node.dump());
  }
  return text;
}

std::string TextOf(exit_code code, const nlohmann::json& body,
                   const std::string& edit_id) {
  switch (code) {
    case exit_code::kOk:
      return AcceptedText(body);
    case exit_code::kConflict:
      return "conflict: revision " + Text(body, "revision") + " is in force; " +
             Text(body, "detail") +
             " (get that revision, redo the edit, put it again)";
    case exit_code::kInvalidDocument:
      return "invalid: " + Text(body, "path") + ": " + Text(body, "reason") +
             "; " + Text(body, "remedy");
    case exit_code::kOutcomeUnknown:
      return "outcome unknown: " + Text(body, "detail") +
             " (repeat with --edit-id " + edit_id +
             "; the edit takes effect once)";
    default:
      return "rejected: " + Text(body, "detail") +
             " (nothing was written; try again later or at another node)";
  }
}

edit_report Report(exit_code code, nlohmann::json body,
                   const std::string& edit_id) {
  body["edit_id"] = edit_id;
  return {code, TextOf(code, body, edit_id), body.dump()};
}

}  // namespace

edit_report ReadEditAnswer(const http_result& result,
                           const std::string& edit_id) {
  if (result.outcome != http_outcome::kComplete) {
    const std::string detail = "the connection ended without an answer (" +
                               std::string(ToString(result.outcome)) + ")";
    return Report(exit_code::kOutcomeUnknown,
                  {{"outcome", "unknown"}, {"detail", detail}}, edit_id);
  }
  nlohmann::json body = ParseBody(result.response);
  const outcome_code* known = FindOutcome(body);
  if (known != nullptr) {
    return Report(known->code, std::move(body), edit_id);
  }
  const int status = result.response.status;
  if (status >= kFirstClientError && status < kFirstServerError) {
    ThrowRefused(result.response);
  }
  const std::string detail =
      "the answer " + std::to_string(status) + " is not understood";
  return Report(exit_code::kOutcomeUnknown,
                {{"outcome", "unknown"}, {"detail", detail}}, edit_id);
}

}  // namespace skylarkcroft

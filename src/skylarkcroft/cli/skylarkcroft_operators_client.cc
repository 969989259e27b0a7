#include "skylarkcroft/cli/skylarkcroft_operators_client.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "skylarkcroft/cli/skylarkcroft_cli_errors.h"
#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kAnswerTimeout{30000};
constexpr milliseconds kCallLimit{60000};
constexpr int kStatusOk = 200;
constexpr int kStatusUnauthorized = 401;

unreachable_error NoAnswer(const endpoint& node, http_outcome outcome) {
  return {"no answer from the node at " + ToString(node) + " (" +
              std::string(ToString(outcome)) + ")",
          "check that it runs, and that --node names its operators' address"};
}

// The detail or title of a problem document, or the body as it is.
std::string DetailOf(const http_response& response) {
  const nlohmann::json body = ParseBody(response);
  for (const char* key : {"detail", "title"}) {
    const auto found = body.find(key);
    if (found != body.end() && found->is_string()) {
      return found->get<std::string>();
    }
  }
  return response.body;
}

}  // namespace

operators_client::operators_client(endpoint node, std::string key)
    : node_(std::move(node)), key_(std::move(key)) {}

http_result operators_client::Send(http_request request) const {
  if (!key_.empty()) {
    request.headers.Add("Authorization", "Bearer " + key_);
  }
  event_loop loop;
  http_client client(loop);
  http_call_options options;
  options.progress_timeout = kAnswerTimeout;
  options.reuse_connection = false;
  std::optional<http_result> ended;
  const http_call_ptr call =
      client.Send(node_, request, options, {{}, {}, [&](http_result result) {
                                              ended = std::move(result);
                                              loop.Stop();
                                            }});
  loop.RunFor(kCallLimit);
  if (!ended.has_value()) {
    return {http_outcome::kTimedOut, true};
  }
  if (!ended->may_have_been_sent) {
    throw NoAnswer(node_, ended->outcome);
  }
  return *ended;
}

nlohmann::json operators_client::Get(const std::string& target) const {
  const http_result result = Send({"GET", target, {}, ""});
  if (result.outcome != http_outcome::kComplete) {
    throw NoAnswer(node_, result.outcome);
  }
  if (result.response.status != kStatusOk) {
    ThrowRefused(result.response);
  }
  nlohmann::json body = ParseBody(result.response);
  if (!body.is_object()) {
    throw refused_error(
        "the node at " + ToString(node_) + " did not answer with a JSON object",
        "check that --node names its operators' address");
  }
  return body;
}

nlohmann::json ParseBody(const http_response& response) {
  nlohmann::json body = ParseBoundedJson(response.body);
  return body.is_discarded() ? nlohmann::json() : body;
}

void ThrowRefused(const http_response& response) {
  const std::string detail = DetailOf(response);
  const std::string what =
      "the node answered " + std::to_string(response.status);
  throw refused_error(detail.empty() ? what : what + ": " + detail,
                      response.status == kStatusUnauthorized
                          ? "give the operators' key with --key-file"
                          : "correct the request or try another node");
}

}  // namespace skylarkcroft

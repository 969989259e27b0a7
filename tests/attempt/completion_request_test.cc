#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "skylarkcroft/attempt/skylarkcroft_accepted_request.h"
#include "skylarkcroft/attempt/skylarkcroft_completion_request.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {
namespace {

std::string PathOfError(const std::string& path, const std::string& body) {
  try {
    ParseCompletionRequest(path, body, rank::kNormal);
  } catch (const config_error& failure) {
    return failure.path();
  }
  return "accepted";
}

TEST_CASE(
    "the upstream body keeps the client's members and sets stream and priority",
    "[completion]") {
  const completion_request request = ParseCompletionRequest(
      kChatCompletionsPath,
      R"({"model":"m","messages":[{"role":"user","content":"a b"},)"
      R"({"role":"user","content":"c"}],"temperature":0.5})",
      rank::kBatch);
  CHECK(request.prompt == "a b\nc");
  CHECK(request.PromptTokens() == 3);
  CHECK_FALSE(request.stream);
  const nlohmann::json body = nlohmann::json::parse(request.upstream_body);
  CHECK(body.at("stream") == true);
  CHECK(body.at("priority") == 2);
  CHECK(body.at("temperature") == 0.5);
}

TEST_CASE("a resuming attempt sends the count of delivered tokens",
          "[completion][resume]") {
  completion_request request;
  request.path = kCompletionsPath;
  CHECK_FALSE(MakeUpstreamRequest(request, "r", 0, milliseconds(5))
                  .headers.Has("Last-Event-ID"));
  const http_request resumed =
      MakeUpstreamRequest(request, "r", 7, milliseconds(-5));
  CHECK(resumed.headers.Get("Last-Event-ID") == "7");
  CHECK(resumed.headers.Get("X-Deadline-Ms") == "0");
}

TEST_CASE(
    "a malformed completion body is rejected with the JSON path of the fault",
    "[completion][hostile]") {
  CHECK(PathOfError(kCompletionsPath, "{") == "$");
  CHECK(PathOfError(kCompletionsPath, "[]") == "$");
  CHECK(PathOfError(kCompletionsPath,
                    "{\"model\":\"\xff\",\"prompt\":\"a\"}") == "$");
  CHECK(PathOfError(kCompletionsPath, R"({"prompt":"a"})") == "$.model");
  CHECK(PathOfError(kCompletionsPath, R"({"model":"m"})") == "$.prompt");
  CHECK(PathOfError(kCompletionsPath,
                    R"({"model":"m","prompt":"a","max_tokens":0})") ==
        "$.max_tokens");
  CHECK(PathOfError(kCompletionsPath,
                    R"({"model":"m","prompt":"a","stream":1})") == "$.stream");
  CHECK(PathOfError(kChatCompletionsPath, R"({"model":"m","messages":[{}]})") ==
        "$.messages[0].content");
}

TEST_CASE("the route's rule decides idempotency, or else the method",
          "[completion][at-most-once]") {
  route matched_route;
  CHECK(IsIdempotent(matched_route, "GET", false));
  CHECK_FALSE(IsIdempotent(matched_route, "POST", false));
  CHECK(IsIdempotent(matched_route, "POST", true));
  matched_route.idempotency_rule = idempotency::kNever;
  CHECK_FALSE(IsIdempotent(matched_route, "GET", false));
  matched_route.idempotency_rule = idempotency::kAlways;
  CHECK(IsIdempotent(matched_route, "POST", false));
}

}  // namespace
}  // namespace skylarkcroft

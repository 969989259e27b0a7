#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "skylarkcroft/http/skylarkcroft_problem.h"

namespace skylarkcroft {
namespace {

TEST_CASE("a problem becomes a problem+json response", "[http][problem]") {
  problem failure = MakeProblem(refusal_reason::kQueueFull, run_state::kNotRun,
                                "rank 2 holds 100 requests", "r-1");
  failure.retry_after = std::chrono::seconds(3);
  const http_response response = ToResponse(failure);
  CHECK(response.status == 503);
  CHECK(response.headers.fields().front() ==
        http_header{"X-Request-Id", "r-1"});
  CHECK(response.headers.Get("Content-Type") == "application/problem+json");
  CHECK(response.headers.Get("Retry-After") == "3");
  CHECK(nlohmann::json::parse(response.body) ==
        nlohmann::json{{"type", "about:blank"},
                       {"title", "Queue full"},
                       {"status", 503},
                       {"detail", "rank 2 holds 100 requests"},
                       {"reason", "queue_full"},
                       {"run_state", "not_run"},
                       {"request_id", "r-1"}});
}

TEST_CASE("a problem without a retry time or request id leaves both out",
          "[http][problem]") {
  const http_response response = ToResponse(MakeProblem(
      refusal_reason::kBadRequest, run_state::kUnknown, "bad \xff", ""));
  CHECK_FALSE(response.headers.Has("Retry-After"));
  CHECK_FALSE(response.headers.Has("X-Request-Id"));
  const auto body = nlohmann::json::parse(response.body);
  CHECK_FALSE(body.contains("request_id"));
  CHECK(body.at("run_state") == "unknown");
}

TEST_CASE("every reason has a name of its own and an error status",
          "[http][problem]") {
  std::set<std::string_view> names;
  for (const refusal_reason reason : kRefusalReasons) {
    names.insert(ToString(reason));
    CHECK(StatusOf(reason) >= 400);
    CHECK(StatusOf(reason) < 600);
    CHECK_FALSE(TitleOf(reason).empty());
  }
  CHECK(names.size() == kRefusalReasons.size());
  CHECK(ToString(run_state::kRan) == "ran");
}

}  // namespace
}  // namespace skylarkcroft

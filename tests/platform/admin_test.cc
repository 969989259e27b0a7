#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/platform/platform_fixture.h"

namespace skylarkcroft::standin {
namespace {

TEST_CASE("an invalid administration call changes nothing", "[admin]") {
  platform_fixture fixture;
  const auto status = [&](const std::string& call, const std::string& body) {
    return fixture.Call({"POST", "/admin/" + call, {}, body}).response.status;
  };
  CHECK(status("fault", "not json") == 400);
  CHECK(status("fault", R"({"service":"none","mode":"outage"})") == 400);
  CHECK(status("fault", R"({"service":"all","mode":"none","speed":1})") == 400);
  CHECK(status("fault", R"({"service":"all","mode":"explode"})") == 400);
  CHECK(status("fault",
               R"({"service":"all","mode":"outage","probability":2})") == 400);
  CHECK(status("hosts", "{}") == 400);
  CHECK(status("reclaim", R"({"addresses":["nowhere"]})") == 400);
  CHECK(status("nothing", "{}") == 404);
  CHECK(fixture.Call({"GET", "/cloud/prices", {}, ""}).Ok());
}

TEST_CASE("the statistics count calls and faults of each service", "[admin]") {
  platform_fixture fixture;
  fixture.Admin("fault", R"({"service":"cloud","mode":"outage","count":1})");
  CHECK_FALSE(fixture.Call({"GET", "/cloud/prices", {}, ""}).Ok());
  CHECK(fixture.Call({"GET", "/cloud/prices", {}, ""}).Ok());
  CHECK(fixture.Call({"PUT", "/objects/a", {}, "x"}).Ok());
  const http_result result = fixture.Call({"GET", "/admin/stats", {}, ""});
  const auto stats = nlohmann::json::parse(result.response.body);
  CHECK(
      stats["cloud"] ==
      nlohmann::json{{"calls", 2}, {"writes", 0}, {"reads", 1}, {"faults", 1}});
  CHECK(stats["objects"]["writes"] == 1);
  CHECK(stats["tables"]["calls"] == 0);
}

}  // namespace
}  // namespace skylarkcroft::standin

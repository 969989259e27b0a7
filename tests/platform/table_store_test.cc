#include <algorithm>
#include <catch2/catch.hpp>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "standins/platform/skylarkcroft_fault_injector.h"
#include "standins/platform/skylarkcroft_rate_limiter.h"
#include "standins/platform/skylarkcroft_table_handler.h"

namespace skylarkcroft::standin {
namespace {

const time_point kStart{std::chrono::hours(1)};

http_response Ask(table_handler& handler, const std::string& operation,
                  const std::string& body) {
  return handler.Answer(
      {"POST", "/", {{"X-Amz-Target", "DynamoDB_20120810." + operation}}, body},
      kStart);
}

TEST_CASE("the wire form is the published one", "[table]") {
  table_store store;
  table_handler handler(store, 0, 0);
  const http_response put = Ask(handler, "TransactWriteItems", R"json({
      "ClientRequestToken": "t",
      "TransactItems": [{"Put": {"TableName": "skylarkcroft",
          "ConditionExpression": "attribute_not_exists(pk)",
          "Item": {"pk": {"S": "p"}, "sk": {"S": "a"},
                   "ver": {"N": "1"}, "doc": {"S": "{}"}}}}]})json");
  CHECK(put.status == 200);
  CHECK(put.body == "{}");
  const http_response got = Ask(handler, "GetItem", R"json({
      "TableName": "skylarkcroft", "ConsistentRead": true,
      "Key": {"pk": {"S": "p"}, "sk": {"S": "a"}}})json");
  CHECK(got.body == R"json({"Item":{"doc":{"S":"{}"},"pk":{"S":"p"},)json"
                    R"json("sk":{"S":"a"},"ver":{"N":"1"}}})json");
  const http_response between = Ask(handler, "Query", R"json({
      "TableName": "skylarkcroft", "ConsistentRead": true,
      "KeyConditionExpression": "pk = :p AND sk BETWEEN :a AND :b",
      "ExpressionAttributeValues":
          {":p": {"S": "p"}, ":a": {"S": "a"}, ":b": {"S": "b"}}})json");
  CHECK(between.body.find(R"("Count":1)") != std::string::npos);
}

TEST_CASE("a request outside the subset is a validation error", "[table]") {
  table_store store;
  table_handler handler(store, 0, 0);
  CHECK_THROWS_WITH(Ask(handler, "GetItem", R"json({
      "TableName": "skylarkcroft",
      "Key": {"pk": {"S": "p"}, "sk": {"S": "a"}}})json"),
                    Catch::Contains("ConsistentRead"));
  CHECK_THROWS_WITH(Ask(handler, "Query", R"json({
      "TableName": "skylarkcroft", "ConsistentRead": true,
      "KeyConditionExpression": "sk = :p",
      "ExpressionAttributeValues": {":p": {"S": "p"}}})json"),
                    Catch::Contains("subset"));
  CHECK(Ask(handler, "Scan", "{}").body.find("UnknownOperationException") !=
        std::string::npos);
  CHECK(handler.BadRequest("x").body.find("ValidationException") !=
        std::string::npos);
}

TEST_CASE("a rate limiter allows one second's worth at once", "[rate]") {
  rate_limiter limiter(4);
  for (int call = 0; call < 4; ++call) {
    CHECK(limiter.Take(kStart));
  }
  CHECK_FALSE(limiter.Take(kStart));
  CHECK(limiter.UntilNext() == milliseconds(250));
  CHECK(limiter.Take(kStart + milliseconds(250)));
  CHECK_FALSE(limiter.Take(kStart + milliseconds(251)));
  CHECK(rate_limiter(0).Take(kStart));
}

std::vector<bool> Draw(fault_injector& faults, service_kind kind) {
  std::vector<bool> failed(64);
  for (auto&& drawn : failed) {
    drawn = faults.Next(kind).mode != fault_mode::kNone;
  }
  return failed;
}

TEST_CASE("faults are drawn from a seeded generator of each service",
          "[fault]") {
  const fault half{fault_mode::kOutage, {}, 0.5, 0};
  fault_injector one(7);
  fault_injector same(7);
  fault_injector other(8);
  for (fault_injector* faults : {&one, &same, &other}) {
    faults->Set(service_kind::kTables, half);
    faults->Set(service_kind::kCloud, half);
  }
  Draw(same, service_kind::kCloud);
  const std::vector<bool> drawn = Draw(one, service_kind::kTables);
  CHECK(drawn == Draw(same, service_kind::kTables));
  CHECK(drawn != Draw(other, service_kind::kTables));
  CHECK(std::count(drawn.begin(), drawn.end(), true) > 10);
  CHECK(std::count(drawn.begin(), drawn.end(), false) > 10);
}

TEST_CASE("a fault ends after its count of calls", "[fault]") {
  fault_injector faults(1);
  faults.Set(service_kind::kTables, {fault_mode::kHang, {}, 1, 2});
  CHECK(faults.Next(service_kind::kObjects).mode == fault_mode::kNone);
  CHECK(faults.Next(service_kind::kTables).mode == fault_mode::kHang);
  CHECK(faults.Next(service_kind::kTables).mode == fault_mode::kHang);
  CHECK(faults.Next(service_kind::kTables).mode == fault_mode::kNone);
}

}  // namespace
}  // namespace skylarkcroft::standin

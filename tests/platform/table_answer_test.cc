#include <catch2/catch.hpp>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kTestLimit{20000};

// A service that answers every call alike.
struct fixed_service {
  explicit fixed_service(const http_response& response)
      : server(loop, {"127.0.0.1", 0}, {},
               [response](const http_exchange_ptr& exchange) {
                 exchange->Reply(response);
               }),
        client(loop),
        tables(MakeTableServiceClient(client, server.address(), kTestLimit)) {}

  write_result Write() {
    write_result written;
    tables->Write({{}, {}}, "t", [&](const write_result& result) {
      written = result;
      // Destroying the service from within its answer must be safe.
      tables.reset();
      loop.Stop();
    });
    loop.RunFor(kTestLimit);
    REQUIRE(tables == nullptr);
    return written;
  }
  read_result Get() {
    std::optional<read_result> read;
    tables->Get({"p", "a"}, [&](const read_result& result) {
      read = result;
      loop.Stop();
    });
    loop.RunFor(kTestLimit);
    REQUIRE(read.has_value());
    return *read;
  }
  query_result Query() {
    std::optional<query_result> found;
    tables->Query({"p", "", ""}, [&](const query_result& result) {
      found = result;
      loop.Stop();
    });
    loop.RunFor(kTestLimit);
    REQUIRE(found.has_value());
    return *found;
  }

  event_loop loop;
  http_server server;
  http_client client;
  std::unique_ptr<table_service> tables;
};

write_outcome OutcomeOf(int status, const std::string& body) {
  return fixed_service({status, {}, body}).Write().outcome;
}

TEST_CASE("a write is unknown unless the service says that it did nothing",
          "[table]") {
  CHECK(OutcomeOf(500, "{}") == write_outcome::kUnknown);
  CHECK(OutcomeOf(503, "{}") == write_outcome::kUnknown);
  CHECK(OutcomeOf(400, "") == write_outcome::kUnknown);
  CHECK(OutcomeOf(400, "[]") == write_outcome::kUnknown);
  CHECK(OutcomeOf(400, R"({"message":"x"})") == write_outcome::kUnknown);
  CHECK(OutcomeOf(400, R"({"__type":"a#TransactionInProgressException"})") ==
        write_outcome::kUnknown);
  CHECK(OutcomeOf(400,
                  R"({"__type":"a#ProvisionedThroughputExceededException"})") ==
        write_outcome::kRejected);
  CHECK(OutcomeOf(400, R"({"__type":"a#ValidationException"})") ==
        write_outcome::kRejected);
  CHECK(OutcomeOf(429, "") == write_outcome::kRejected);
}

TEST_CASE("a cancelled transaction is a conflict only by a failed condition",
          "[table]") {
  const std::string type = R"({"__type":"a#TransactionCanceledException",)";
  CHECK(OutcomeOf(400, type + R"("CancellationReasons":[
            {"Code":"TransactionConflict"},{"Code":"None"}]})") ==
        write_outcome::kRejected);
  CHECK(fixed_service({400, {}, type + R"("CancellationReasons":[
            {"Code":"None"},{"Code":"ConditionalCheckFailed"}]})"})
            .Write() == write_result{write_outcome::kConflict, {1}});
}

TEST_CASE("a malformed answer to a read is unavailable, not missing",
          "[table]") {
  const std::string body =
      GENERATE("", "[]", R"({"Item":{"pk":{"S":"p"}}})", R"({"Items":[{}]})",
               R"({"Items":[],"LastEvaluatedKey":{}})");
  CAPTURE(body);
  fixed_service service({200, {}, body});
  CHECK_FALSE(service.Query().available);
  if (body.find("Items") == std::string::npos) {
    CHECK(service.Get().outcome == read_outcome::kUnavailable);
  }
}

}  // namespace
}  // namespace skylarkcroft

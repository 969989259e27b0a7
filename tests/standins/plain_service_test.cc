#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "standins/plain_service/plain_service_standin.h"
#include "tests/standins/standin_harness.h"

namespace skylarkcroft::standin {
namespace {

plain_service_options FastService() {
  plain_service_options options;
  options.service_time = milliseconds(1);
  options.load_lag = milliseconds(0);
  return options;
}

http_request Booking(const std::string& key) {
  return {"POST", "/bookings", {{"Idempotency-Key", key}}, "two sacks"};
}

void SetFault(standin_harness& harness, const endpoint& peer,
              const nlohmann::json& fault) {
  harness.Post(peer, "/admin/fault", fault);
}

using run_counts = std::map<std::string, int64_t>;

TEST_CASE("a plain service echoes the request and numbers its runs by key",
          "[plain_service]") {
  standin_harness harness;
  const plain_service_standin service(harness.loop, FastService(), SteadyNow);
  http_request request{
      "PUT", "/stock/olive?unit=sack", {{"X-Request-Id", "r1"}}, "body"};
  const auto first = harness.Json(service.address(), request);
  CHECK(first["method"] == "PUT");
  CHECK(first["path"] == "/stock/olive");
  CHECK(first["query"] == "unit=sack");
  CHECK(first["body"] == "body");
  CHECK(first["run"] == 1);
  CHECK(harness.Json(service.address(), request)["run"] == 2);
  request.headers.Add("Idempotency-Key", "k");
  CHECK(harness.Json(service.address(), request)["run"] == 1);
  CHECK(service.stats().runs == run_counts{{"k", 1}, {"r1", 2}});
}

TEST_CASE("an outcome is told for a key that was run and for no other",
          "[plain_service]") {
  standin_harness harness;
  const plain_service_standin service(harness.loop, FastService(), SteadyNow);
  const http_request ask{"GET", "/outcomes/a%20key", {}, ""};
  CHECK(harness.Call(service.address(), ask).response.status == 404);
  const http_result run = harness.Call(service.address(), Booking("a key"));
  const auto outcome = harness.Json(service.address(), ask);
  CHECK(outcome["status"] == 200);
  CHECK(outcome["body"] == run.response.body);
}

TEST_CASE("the outcome of a run under way is told when it ends",
          "[plain_service]") {
  standin_harness harness;
  plain_service_options options = FastService();
  options.service_time = milliseconds(200);
  const plain_service_standin service(harness.loop, options, SteadyNow);
  watched_call booking;
  harness.Start(service.address(), Booking("k"), booking);
  harness.RunUntil([&] { return service.stats().runs.count("k") == 1; });
  CHECK_FALSE(booking.done);
  CHECK(harness.Get(service.address(), "/outcomes/k")["status"] == 200);
}

TEST_CASE("a request that is said not to have run was not run",
          "[plain_service][faults]") {
  standin_harness harness;
  const plain_service_standin service(harness.loop, FastService(), SteadyNow);
  SetFault(harness, service.address(), {{"mode", "not_run"}, {"count", 1}});
  const http_result refused = harness.Call(service.address(), Booking("k"));
  CHECK(refused.response.status == 503);
  CHECK(refused.response.headers.Get("X-Not-Run") == "true");
  CHECK(service.stats().runs.empty());
  CHECK(harness.Call(service.address(), Booking("k")).Ok());
  CHECK(service.stats().runs == run_counts{{"k", 1}});
}

TEST_CASE(
    "a run whose answer is lost, broken or failed counts and has an outcome",
    "[plain_service][faults]") {
  standin_harness harness;
  const plain_service_standin service(harness.loop, FastService(), SteadyNow);
  const std::string mode = GENERATE("lose_answer", "break_after", "error");
  SetFault(harness, service.address(), {{"mode", mode}, {"tokens", 5}});
  const http_result result = harness.Call(service.address(), Booking("k"));
  CHECK_FALSE(result.Ok());
  if (mode == "break_after") {
    CHECK(result.response.body == R"({"bod)");
  }
  CHECK(service.stats().runs == run_counts{{"k", 1}});
  SetFault(harness, service.address(), {{"mode", "none"}});
  const int status = mode == "error" ? 500 : 200;
  CHECK(harness.Get(service.address(), "/outcomes/k")["status"] == status);
}

TEST_CASE("a late answer comes after its outcome can be asked",
          "[plain_service][faults]") {
  standin_harness harness;
  const plain_service_standin service(harness.loop, FastService(), SteadyNow);
  SetFault(harness, service.address(),
           {{"mode", "late"}, {"delay_ms", 300}, {"count", 1}});
  watched_call booking;
  harness.Start(service.address(), Booking("k"), booking);
  harness.RunUntil([&] { return service.stats().runs.count("k") == 1; });
  CHECK(harness.Get(service.address(), "/outcomes/k")["status"] == 200);
  CHECK_FALSE(booking.done);
  harness.RunUntil([&] { return booking.done; });
  CHECK(booking.result.Ok());
}

TEST_CASE("requests beyond the slots wait, and one that is given up is not run",
          "[plain_service]") {
  standin_harness harness;
  plain_service_options options = FastService();
  options.slots = 1;
  options.max_waiting = 1;
  const plain_service_standin service(harness.loop, options, SteadyNow);
  SetFault(harness, service.address(),
           {{"mode", "slow"}, {"factor", 300}, {"count", 1}});
  watched_call first;
  watched_call second;
  harness.Start(service.address(), Booking("first"), first);
  harness.RunUntil([&] { return service.stats().runs.count("first") == 1; });
  harness.Start(service.address(), Booking("second"), second);
  harness.RunUntil([&] { return service.stats().requests == 2; });
  const auto load = harness.Get(service.address(), "/load");
  CHECK(load["running"] == 1);
  CHECK(load["waiting"] == 1);
  const http_result third = harness.Call(service.address(), Booking("third"));
  CHECK(third.response.headers.Get("X-Not-Run") == "true");
  second.call.reset();
  harness.RunUntil([&] { return first.done; });
  CHECK(harness.Call(service.address(), Booking("fourth")).Ok());
  CHECK(service.stats().runs == run_counts{{"first", 1}, {"fourth", 1}});
}

}  // namespace
}  // namespace skylarkcroft::standin

#include "platform/platform_documents.h"

#include <catch2/catch.hpp>

namespace skylarkcroft {

using platform::ReadConfig;
using platform::ReadUpstream;

TEST_CASE("A config is read into routes, pools and workspaces",
          "[adapter][config]") {
  const std::optional<service_map> map = ReadConfig(R"({
    "version": 7,
    "routes": [
      {"name": "r1", "host": "h", "path_prefix": "/a/", "kind": "streaming",
       "timeout_ms": 15000, "target_latency_ms": 2000, "priority": 2,
       "traffic_split": [{"service": "s1", "weight": 90},
                         {"service": "s2", "weight": 10}],
       "attempts": 2, "allow_anonymous": true, "resume_streams": true},
      {"name": "r2", "host": "h", "path_prefix": "/b/", "kind": "unsafe",
       "service": "s1"}],
    "services": [
      {"name": "s1", "health_path": "/health", "connection_limit": 360,
       "engine": {"slots": 64, "kv_cache_tokens": 631107},
       "scaling": {"minimum": 1, "maximum": 10, "boot_time_s": 4.0,
                   "spot_price": 0.18, "zone_prices": {"z1": 1.0}}}],
    "limits": {"header_bytes": 16384, "body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "w", "api_keys": ["k1", "k2"], "priority": 1,
                 "unit": "tokens", "plain_tokens": 200, "rate_per_s": 362055,
                 "burst_size": 362000}]})");
  REQUIRE(map.has_value());
  CHECK(map->version == 7);
  REQUIRE(map->routes.size() == 2);
  const service_route& first = map->routes[0];
  CHECK(first.repeat == retry_rule::kStream);
  CHECK(first.MayExecuteTwice());
  CHECK(first.services.size() == 2);
  CHECK(first.timeout == milliseconds(15000));
  CHECK(first.anonymous_allowed);
  CHECK_FALSE(map->routes[1].MayExecuteTwice());
  REQUIRE(map->pools.size() == 1);
  CHECK(map->pools[0].engine == engine_capacity{64, 631107});
  CHECK(map->pools[0].scaling->boot_time == milliseconds(4000));
  CHECK(map->workspaces[0].counts_tokens);
  CHECK(map->workspaces[0].burst_tokens == 362000);
}

TEST_CASE("A config that cannot be read is none", "[adapter][config]") {
  CHECK_FALSE(ReadConfig("").has_value());
  CHECK_FALSE(ReadConfig("[]").has_value());
  CHECK_FALSE(ReadConfig(R"({"version": "x", "routes": []})").has_value());
}

TEST_CASE("An upstream's entry is read", "[adapter][directory]") {
  const std::optional<upstream_entry> entry = ReadUpstream("i-1", R"({
    "service": "s1", "address": "10.128.0.9:8080", "zone": "z1",
    "version": "v1", "slots": 64, "state": "draining", "use_spot": true,
    "born": 1780829201318, "cold_remaining_ms": 2400, "sequence_number": 4})");
  REQUIRE(entry.has_value());
  CHECK(entry->id == "i-1");
  CHECK(entry->address == endpoint{"10.128.0.9", 8080});
  CHECK(entry->is_draining);
  CHECK(entry->reclaimable);
  CHECK(entry->incarnation == 1780829201318);
  CHECK(entry->cold_for == milliseconds(2400));
}

TEST_CASE("Entries of other writers name no upstream", "[adapter][directory]") {
  const std::string value = GENERATE(
      as<std::string>{}, "", "\xff\xfe", "null", "[]", "{}",
      R"({"service": "s", "address": "somewhere", "state": "ready"})",
      R"({"service": 5, "address": "10.0.0.1:80", "state": "ready"})",
      R"({"service": "s", "address": "10.0.0.1:80", "state": "resting"})",
      R"({"service": "s", "address": "10.0.0.1:80", "state": "ready",
          "slots": "many"})",
      R"({"address": "10.0.0.1:80", "state": "ready"})");
  CHECK_FALSE(ReadUpstream("i-1", value).has_value());
}

// Guards against undefined conversions of numbers that are out of the range of
// their type, which gave an upstream slots, a start or an end by accident.
TEST_CASE("An entry with a number out of range names no upstream",
          "[adapter][directory][odd_entry]") {
  const std::string member =
      GENERATE(as<std::string>{}, R"("slots": 1e300)", R"("slots": -5)",
               R"("slots": 4294967297)", R"("born": 1e300)",
               R"("born": 18446744073709551615)", R"("leaves_ms": 1e300)",
               R"("leaves_ms": -9223372036854775808)",
               R"("address": "10.0.0.1:65536")", R"("address": "10.0.0.1:-1")");
  CHECK_FALSE(ReadUpstream("i-1", R"({"service": "s", "state": "ready",
      "address": "10.0.0.1:80", )" + member +
                                      "}")
                  .has_value());
}

TEST_CASE("A config with a number out of range is none",
          "[adapter][config][odd_entry]") {
  const std::string member = GENERATE(
      as<std::string>{}, R"("timeout_ms": 1e300)", R"("attempts": 1e300)",
      R"("attempts": 4294967297)", R"("priority": -1e300)");
  CHECK_FALSE(ReadConfig(R"({"version": 1, "services": [], "routes": [
      {"host": "h", "path_prefix": "/", "service": "s", )" +
                         member + "}]}")
                  .has_value());
}

}  // namespace skylarkcroft

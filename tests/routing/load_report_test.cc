#include <catch2/catch.hpp>

#include "skylarkcroft/routing/skylarkcroft_load_poller.h"

namespace skylarkcroft {
namespace {

TEST_CASE("counts in a load report are clamped to the range of exact integers",
          "[routing][hostile]") {
  constexpr int64_t kMaxExactInteger = 9007199254740992;
  const std::optional<load_report> report = ParseLoadReport(
      R"({"running":1e300,"waiting":-5,"slots":18446744073709551615,)"
      R"("kv_used_tokens":7,"leaving":true})");
  REQUIRE(report.has_value());
  CHECK(report->running == kMaxExactInteger);
  CHECK(report->waiting == 0);
  CHECK(report->slots == kMaxExactInteger);
  CHECK(report->kv_used_tokens == 7);
  CHECK(report->is_draining);
  CHECK_FALSE(ParseLoadReport(R"({"running":"3"})").has_value());
}

}  // namespace
}  // namespace skylarkcroft

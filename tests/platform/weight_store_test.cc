#include <catch2/catch.hpp>

#include "skylarkcroft/platform/skylarkcroft_weight_store.h"
#include "tests/platform/platform_fixture.h"

namespace skylarkcroft::standin {
namespace {

struct weight_fixture : platform_fixture {
  explicit weight_fixture(const platform_options& options)
      : platform_fixture(options),
        weights(MakeWeightStoreClient(client, platform.address(), kTestLimit)) {
  }

  weight_result Fetch(const std::string& model) {
    return Await<weight_result>(
        [&](auto done) { weights->Fetch(model, "v1", done); });
  }

  std::unique_ptr<weight_store> weights;
};

TEST_CASE("weights beyond the rate are refused with a time to retry",
          "[weights][rate]") {
  platform_options options;
  options.weights_per_s = 0.25;
  weight_fixture fixture(options);
  const weight_result first = fixture.Fetch("small model");
  CHECK(first.outcome == weight_outcome::kFetched);
  CHECK(first.body == R"({"model":"small model","version":"v1"})");
  const weight_result refused = fixture.Fetch("m");
  CHECK(refused.outcome == weight_outcome::kThrottled);
  CHECK(refused.retry_after == std::chrono::seconds(4));
  fixture.now += refused.retry_after;
  CHECK(fixture.Fetch("m").outcome == weight_outcome::kFetched);
}

TEST_CASE("weights that cannot be read are unavailable", "[weights][fault]") {
  weight_fixture fixture({});
  CHECK(fixture.Fetch("").outcome == weight_outcome::kMissing);
  fixture.Admin("fault", R"({"service":"weights","mode":"outage","count":1})");
  CHECK(fixture.Fetch("m").outcome == weight_outcome::kUnavailable);
  fixture.Admin("fault",
                R"({"service":"weights","mode":"throttle","count":1})");
  CHECK(fixture.Fetch("m").outcome == weight_outcome::kThrottled);
  CHECK(fixture.Fetch("m").outcome == weight_outcome::kFetched);
}

}  // namespace
}  // namespace skylarkcroft::standin

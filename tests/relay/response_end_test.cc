#include <catch2/catch.hpp>

#include "skylarkcroft/relay/skylarkcroft_response_end.h"

namespace skylarkcroft {
namespace {

constexpr time_point kAsked{std::chrono::seconds(100)};
constexpr end_limits kLimits{milliseconds(50)};

end_evidence Evidence(connect_outcome outcome) { return {outcome, kAsked}; }

}  // namespace

TEST_CASE("The end of a response is open until a connection tells",
          "[relay][answer_end][response_end]") {
  CHECK(DecideEnd({}, kLimits, kAsked + milliseconds(1000)) ==
        end_verdict::kWait);
}

TEST_CASE("A response is whole if its upstream accepts or says nothing",
          "[relay][answer_end][response_end]") {
  const connect_outcome outcome =
      GENERATE(connect_outcome::kAccepted, connect_outcome::kUnknown);
  CHECK(DecideEnd(Evidence(outcome), kLimits, kAsked) == end_verdict::kWhole);
}

TEST_CASE("A response is broken if its upstream refuses and stays silent",
          "[relay][answer_end][response_end]") {
  end_evidence evidence = Evidence(connect_outcome::kRefused);
  CHECK(DecideEnd(evidence, kLimits, kAsked + milliseconds(49)) ==
        end_verdict::kWait);
  CHECK(DecideEnd(evidence, kLimits, kAsked + milliseconds(50)) ==
        end_verdict::kBroken);
  evidence.has_byte_since = true;
  CHECK(DecideEnd(evidence, kLimits, kAsked + milliseconds(50)) ==
        end_verdict::kWhole);
}

TEST_CASE("A response of an upstream that leaves is confirmed from its exit on",
          "[relay][answer_end][response_end]") {
  CHECK(NeedsConfirmation({false, std::nullopt}, kAsked));
  CHECK_FALSE(NeedsConfirmation({true, std::nullopt}, kAsked));
  const upstream_departure stated{true, kAsked};
  CHECK_FALSE(NeedsConfirmation(stated, kAsked - milliseconds(1)));
  CHECK(NeedsConfirmation(stated, kAsked));
}

}  // namespace skylarkcroft

#include <catch2/catch.hpp>

#include "skylarkcroft/wire/skylarkcroft_response_end.h"

namespace skylarkcroft {
namespace {

constexpr time_point kAsked{std::chrono::seconds(100)};
constexpr end_limits kLimits{milliseconds(50), milliseconds(100)};

end_evidence Evidence(connect_outcome outcome) {
  return {.ended_at = kAsked,
          .connected_at = kAsked,
          .outcome = outcome,
          .outcome_at = kAsked};
}

}  // namespace

TEST_CASE("The end of a response is open until a connection tells",
          "[wire][answer_end][response_end]") {
  CHECK(DecideEnd({}, kLimits, kAsked + milliseconds(1000)) ==
        end_verdict::kWait);
}

TEST_CASE("A response is whole if its upstream accepts or says nothing",
          "[wire][answer_end][response_end]") {
  const connect_outcome outcome =
      GENERATE(connect_outcome::kAccepted, connect_outcome::kUnknown);
  CHECK(DecideEnd(Evidence(outcome), kLimits, kAsked) == end_verdict::kWhole);
}

TEST_CASE("A response is broken if its upstream refuses and stays silent",
          "[wire][answer_end][response_end]") {
  end_evidence evidence = Evidence(connect_outcome::kRefused);
  CHECK(DecideEnd(evidence, kLimits, kAsked + milliseconds(49)) ==
        end_verdict::kWait);
  CHECK(DecideEnd(evidence, kLimits, kAsked + milliseconds(50)) ==
        end_verdict::kBroken);
  evidence.has_byte_since = true;
  CHECK(DecideEnd(evidence, kLimits, kAsked + milliseconds(50)) ==
        end_verdict::kWhole);
}

// Guards against a whole response that is called broken because its upstream
// has no room for a further connection, and against a short one that is called
// whole because its process still accepts a connection while it ends.
TEST_CASE("A dropped connection shows a process once a listener had to close",
          "[wire][answer_end][response_end][regression]") {
  end_evidence evidence = Evidence(connect_outcome::kDropped);
  CHECK(DecideEnd(evidence, kLimits, kAsked + milliseconds(99)) ==
        end_verdict::kWait);
  CHECK(NextDecisionTime(evidence, kLimits) == kAsked + milliseconds(100));
  CHECK(DecideEnd(evidence, kLimits, kAsked + milliseconds(100)) ==
        end_verdict::kConnectAgain);
  evidence.connected_at = kAsked + milliseconds(100);
  CHECK(IsEndInDoubt(evidence));
  CHECK(DecideEnd(evidence, kLimits, kAsked + milliseconds(100)) ==
        end_verdict::kWhole);
  evidence.outcome = connect_outcome::kRefused;
  evidence.outcome_at = kAsked + milliseconds(100);
  CHECK(DecideEnd(evidence, kLimits, kAsked + milliseconds(150)) ==
        end_verdict::kBroken);
}

TEST_CASE("An end is in doubt once a connection has spoken against it",
          "[wire][answer_end][response_end]") {
  end_evidence evidence = Evidence(connect_outcome::kDropped);
  CHECK(IsEndInDoubt(evidence));
  evidence.outcome.reset();
  CHECK_FALSE(IsEndInDoubt(evidence));
  evidence.connected_at = kAsked + milliseconds(100);
  CHECK(IsEndInDoubt(evidence));
}

TEST_CASE("A response of an upstream that leaves is confirmed from its exit on",
          "[wire][answer_end][response_end]") {
  CHECK(NeedsConfirmation({false, std::nullopt}, kAsked));
  CHECK_FALSE(NeedsConfirmation({true, std::nullopt}, kAsked));
  const upstream_departure stated{true, kAsked};
  CHECK_FALSE(NeedsConfirmation(stated, kAsked - milliseconds(1)));
  CHECK(NeedsConfirmation(stated, kAsked));
}

}  // namespace skylarkcroft

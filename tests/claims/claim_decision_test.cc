#include <catch2/catch.hpp>

#include "skylarkcroft/claims/skylarkcroft_claim_decision.h"

namespace skylarkcroft {
namespace {

constexpr int64_t kNow = 1000000;

claim_record Stored(claim_state state) {
  claim_record record;
  record.state = state;
  record.request_id = "other";
  record.fingerprint = "f";
  record.expires_at_ms = kNow + 1;
  record.deadline_ms = kNow + 1;
  return record;
}

TEST_CASE("a claim that was marked as sent is never taken over",
          "[claims][at-most-once]") {
  claim_record record = Stored(claim_state::kSent);
  for (const int64_t age : {0L, 10L, 10000L, 100000000L}) {
    CAPTURE(age);
    CHECK(DecideClaim(record, "mine", "f", kNow + age) !=
          claim_action::kTakeOver);
  }
  CHECK(DecideClaim(record, "mine", "f", kNow) == claim_action::kWait);
  CHECK(DecideClaim(record, "mine", "f", kNow + 10000) ==
        claim_action::kUnknown);
}

TEST_CASE("an unsent claim is taken over only after it has expired",
          "[claims]") {
  const claim_record record = Stored(claim_state::kClaimed);
  CHECK(DecideClaim(record, "mine", "f", kNow) == claim_action::kWait);
  CHECK(DecideClaim(record, "mine", "f", kNow + 1) == claim_action::kTakeOver);
  CHECK(DecideClaim(record, "other", "f", kNow + 1) ==
        claim_action::kAlreadyHeld);
}

TEST_CASE("a different fingerprint under the same key is reported as key reuse",
          "[claims]") {
  for (const claim_state state : {claim_state::kClaimed, claim_state::kSent,
                                  claim_state::kDone, claim_state::kUnknown}) {
    CHECK(DecideClaim(Stored(state), "mine", "g", kNow) ==
          claim_action::kKeyReused);
  }
}

TEST_CASE("a stored response is replayed and a released key can be claimed",
          "[claims]") {
  CHECK(DecideClaim(Stored(claim_state::kDone), "mine", "f", kNow) ==
        claim_action::kReplay);
  CHECK(DecideClaim(Stored(claim_state::kReleased), "mine", "g", kNow) ==
        claim_action::kTakeOver);
}

TEST_CASE("a claim decodes to the record that was encoded", "[claims]") {
  claim_record record = Stored(claim_state::kDone);
  record.number = 7;
  record.upstream = "s1";
  record.response =
      http_response{201, {{"X-A", "b"}}, std::string("\0\xff\"z", 4)};
  CHECK(DecodeClaim(EncodeClaim(record)) == record);
  CHECK_FALSE(DecodeClaim("{}").has_value());
  CHECK_FALSE(DecodeClaim("[").has_value());
}

TEST_CASE("a response too large for a row is not stored", "[claims]") {
  claim_record record = Stored(claim_state::kDone);
  record.response = http_response{200, {}, std::string(1 << 20, 'x')};
  const std::optional<claim_record> stored = DecodeClaim(EncodeClaim(record));
  REQUIRE(stored.has_value());
  CHECK(stored->state == claim_state::kDone);
  CHECK_FALSE(stored->response.has_value());
}

}  // namespace
}  // namespace skylarkcroft

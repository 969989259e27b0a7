#include <catch2/catch.hpp>

#include "load/skylarkcroft_answer_check.h"
namespace skylarkcroft::load {
namespace {

std::string Text(const std::string& model, const std::string& prompt,
                 int64_t index) {
  return model + prompt + std::to_string(index) + " ";
}

answer_check Check() { return {{"m", "p", 3}, Text}; }

TEST_CASE("a whole own answer has no faults", "[load]") {
  answer_check check = Check();
  for (int64_t id = 1; id <= 3; ++id) {
    check.TakeToken(id, Text("m", "p", id));
  }
  check.TakeFinishReason("length");
  check.TakeEnd();
  CHECK_FALSE(check.faults().Any());
  CHECK(check.ended());
  CHECK(check.tokens() == 3);
}

TEST_CASE("a faulty answer is told by the kind of its fault", "[load]") {
  answer_check check = Check();
  check.TakeToken(1, Text("m", "p", 1));
  SECTION("repeated token") {
    check.TakeToken(1, Text("m", "p", 1));
    CHECK(check.faults() == answer_faults{1, 0, 0, 0});
  }
  SECTION("missing token in between") {
    check.TakeToken(3, Text("m", "p", 3));
    CHECK(check.faults() == answer_faults{0, 1, 0, 0});
  }
  SECTION("missing tokens at the end") {
    check.TakeFinishReason("length");
    CHECK(check.faults() == answer_faults{0, 2, 0, 0});
  }
  SECTION("a token of another answer") {
    check.TakeToken(2, Text("m", "other", 2));
    CHECK(check.faults() == answer_faults{0, 0, 1, 0});
  }
}

TEST_CASE("an unstreamed answer is compared as a whole", "[load]") {
  answer_check check = Check();
  SECTION("own") {
    check.TakeWhole("mp1 mp2 ", 2);
    CHECK_FALSE(check.faults().Any());
  }
  SECTION("foreign") {
    check.TakeWhole("mp1 mx2 ", 2);
    CHECK(check.faults().foreign_tokens == 1);
  }
}

}  // namespace
}  // namespace skylarkcroft::load

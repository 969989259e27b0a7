#include <catch2/catch.hpp>

#include "skylarkcroft/placement/skylarkcroft_prompt_parts.h"

namespace skylarkcroft {

TEST_CASE("Token counts and prompt parts of a generation are parsed",
          "[placement]") {
  const generation_shape shape = ParseGenerationShape(
      "1460,80", "5c1e07a2:800,91bd3f06:410, e4402b7d:250");
  CHECK(shape.prompt_tokens == 1460);
  CHECK(shape.max_output_tokens == 80);
  CHECK(shape.SharedTokens() == 1210);
  CHECK(shape.TotalTokens() == 1540);
  CHECK(shape.AffinityKey() == "91bd3f06");
}

TEST_CASE("Malformed token counts and prompt parts are skipped",
          "[placement]") {
  CHECK(ParseGenerationShape("", "").AffinityKey().empty());
  CHECK(ParseGenerationShape("x,y", "a,b:,c:-1") == generation_shape{});
  CHECK(ParseGenerationShape("5", "a:3").AffinityKey() == "a");
}

}  // namespace skylarkcroft

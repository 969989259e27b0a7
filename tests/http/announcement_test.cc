#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "skylarkcroft/http/skylarkcroft_announcement.h"

namespace skylarkcroft {
namespace {

std::optional<milliseconds> PauseOf(int status, const std::string& text) {
  return ReadAnnouncement(status, {{"Retry-After", text}}, "Leaving").pause;
}

}  // namespace

TEST_CASE("A pause is read in seconds with or without a fraction",
          "[http][pause]") {
  CHECK(PauseOf(503, "2") == milliseconds(2000));
  CHECK(PauseOf(503, "0.25") == milliseconds(250));
  CHECK(PauseOf(503, "1e9") == milliseconds(86400000));
  CHECK_FALSE(PauseOf(429, "2").has_value());
  CHECK_FALSE(PauseOf(200, "2").has_value());
}

TEST_CASE("A pause that cannot be read counts as absent",
          "[http][pause][malformed]") {
  const std::string text =
      GENERATE("", "soon", "0", "-1", "nan", "2s", "Fri, 04 Dec 2026 22:00:00");
  CHECK_FALSE(PauseOf(503, text).has_value());
}

TEST_CASE("Only the value 1 tells that an upstream leaves", "[http][leaving]") {
  CHECK(ReadAnnouncement(200, {{"leaving", "1"}}, "Leaving").is_leaving);
  CHECK_FALSE(ReadAnnouncement(200, {{"Leaving", "0"}}, "Leaving").is_leaving);
  CHECK_FALSE(ReadAnnouncement(200, {}, "Leaving").is_leaving);
}

}  // namespace skylarkcroft

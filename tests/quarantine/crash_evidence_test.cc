#include <catch2/catch.hpp>
#include <vector>

#include "skylarkcroft/quarantine/skylarkcroft_crash_evidence.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr milliseconds kPause{500};
constexpr milliseconds kConfirmed{300};

/// Adds suspects to evidence, one crash after the other.
class evidence_builder {
 public:
  void Crash(part_key request, const std::vector<part_key>& parts,
             bool begun = true) {
    now += kPause;
    AddSuspect(request, parts, begun, ++upstream_);
  }
  /// A suspect of the latest crash.
  void Also(part_key request, const std::vector<part_key>& parts, bool begun) {
    AddSuspect(request, parts, begun, upstream_);
  }
  [[nodiscard]] std::vector<part_key> Accused(bool wait = false) const {
    const std::optional<accusation> found =
        evidence.FindAccusation(now + kConfirmed, wait);
    return found.has_value() ? found->parts : std::vector<part_key>{};
  }
  [[nodiscard]] uint32_t upstream() const { return upstream_; }

  crash_evidence evidence{crash_evidence_parameters{}};
  time_point now = kStart;

 private:
  void AddSuspect(part_key request, const std::vector<part_key>& parts,
                  bool begun, uint32_t upstream) {
    evidence.Add({upstream, request, begun, parts}, now);
  }

  uint32_t upstream_ = 0;
};

}  // namespace

TEST_CASE("Three crashes accuse the parts that they have in common",
          "[quarantine]") {
  evidence_builder builder;
  builder.Crash(1, {5, 7});
  builder.Crash(2, {5, 7});
  CHECK(builder.Accused().empty());
  builder.Crash(3, {6, 7});
  CHECK(builder.Accused() == std::vector<part_key>{7});
}

TEST_CASE("Parts that always come together are accused together",
          "[quarantine]") {
  evidence_builder builder;
  for (part_key request = 1; request <= 3; ++request) {
    builder.Crash(request, {5, 7});
  }
  CHECK(builder.Accused() == std::vector<part_key>{5, 7});
}

TEST_CASE("Repeats of one request accuse no part", "[quarantine]") {
  evidence_builder builder;
  for (int i = 0; i < 4; ++i) {
    builder.Crash(1, {7});
  }
  CHECK(builder.Accused().empty());
  CHECK(builder.evidence.CrashesOfRequest(1, kStart) == 4);
}

TEST_CASE("Upstreams that crash at the same moment count once",
          "[quarantine]") {
  evidence_builder builder;
  for (uint32_t upstream = 1; upstream <= 5; ++upstream) {
    builder.evidence.Add({upstream, upstream, true, {7}}, kStart);
  }
  CHECK_FALSE(
      builder.evidence.FindAccusation(kStart + kConfirmed, false).has_value());
}

TEST_CASE("Requests that waited behind the one that crashed are not accused",
          "[quarantine]") {
  evidence_builder builder;
  for (part_key request = 1; request <= 3; ++request) {
    builder.Crash(request, {request + 100});
    builder.Also(request + 10, {8}, false);
  }
  CHECK(builder.Accused().empty());
}

TEST_CASE("Bytes after a crash show that only one response broke off",
          "[quarantine]") {
  evidence_builder builder;
  for (part_key request = 1; request <= 3; ++request) {
    builder.Crash(request, {7});
    builder.evidence.Refute(builder.upstream(),
                            builder.now + milliseconds(100));
  }
  CHECK(builder.Accused().empty());
  CHECK(builder.evidence.size() == 0);
}

TEST_CASE("Bytes that were under way do not refute a crash", "[quarantine]") {
  evidence_builder builder;
  builder.Crash(1, {7});
  builder.evidence.Refute(builder.upstream(), builder.now + milliseconds(10));
  CHECK(builder.evidence.size() == 1);
}

TEST_CASE("A success clears a part of earlier crashes only", "[quarantine]") {
  evidence_builder builder;
  builder.Crash(1, {5, 7});
  builder.evidence.RemovePart(5, builder.now);
  builder.Crash(2, {5, 7});
  builder.Crash(3, {5, 7});
  CHECK(builder.Accused() == std::vector<part_key>{7});
}

TEST_CASE("A part of most requests waits for a success before it is accused",
          "[quarantine]") {
  evidence_builder builder;
  builder.Crash(1, {8, 101});
  builder.Crash(2, {8, 102});
  builder.Crash(3, {8, 103});
  CHECK(builder.Accused(true).empty());
  builder.now += milliseconds(2000);
  CHECK(builder.Accused(true) == std::vector<part_key>{8});
}

TEST_CASE("Crashes are forgotten with age and beyond a number of them",
          "[quarantine][bounds]") {
  crash_evidence_parameters parameters;
  parameters.max_records = 4;
  crash_evidence evidence(parameters);
  for (uint32_t i = 0; i < 100; ++i) {
    evidence.Add({i, i, true, {7}}, kStart);
  }
  CHECK(evidence.size() == 4);
  evidence.DropOld(kStart + parameters.max_age + milliseconds(1));
  CHECK(evidence.size() == 0);
}

}  // namespace skylarkcroft

#include <catch2/catch.hpp>

#include "skylarkcroft/placement/skylarkcroft_departed_upstreams.h"

namespace skylarkcroft {

// Guards against entries of an older copy of the store that are taken for ready
// upstreams.
TEST_CASE("A process that left is known by its incarnation",
          "[placement][drain][restored][regression]") {
  departed_upstreams departed;
  upstream_entry entry;
  entry.id = "i-1";
  entry.incarnation = 7;
  const time_point now{milliseconds(1000)};
  CHECK_FALSE(departed.Contains(entry));
  departed.Record(entry, now);
  CHECK(departed.Contains(entry));

  SECTION("so another process under the same id is not it") {
    entry.incarnation = 8;
    CHECK_FALSE(departed.Contains(entry));
  }
  SECTION("until the process is ready again") {
    departed.Forget(entry.id);
    CHECK_FALSE(departed.Contains(entry));
  }
  SECTION("and forgotten after some minutes") {
    upstream_entry other = entry;
    other.id = "i-2";
    departed.Record(other, now + milliseconds(300000));
    CHECK_FALSE(departed.Contains(entry));
  }
}

}  // namespace skylarkcroft

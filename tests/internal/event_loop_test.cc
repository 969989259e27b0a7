#include <catch2/catch.hpp>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft {
namespace {

TEST_CASE("a timer never fires before its delay has passed", "[event-loop]") {
  constexpr milliseconds kTestLimit{5000};
  constexpr int kTimers = 100;
  event_loop loop;
  int early = 0;
  int fired = 0;
  event_loop::handle_ptr timer;
  std::function<void()> start = [&] {
    const time_point asked = SteadyNow();
    const milliseconds delay(1 + fired % 3);
    timer = loop.After(delay, [&, asked, delay] {
      early += SteadyNow() - asked < delay ? 1 : 0;
      ++fired;
      if (fired == kTimers) {
        loop.Stop();
        return;
      }
      start();
    });
  };
  start();
  loop.RunFor(kTestLimit);
  CHECK(fired == kTimers);
  CHECK(early == 0);
}

}  // namespace
}  // namespace skylarkcroft

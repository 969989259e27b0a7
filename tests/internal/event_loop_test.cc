#include <catch2/catch.hpp>
#include <memory>

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

TEST_CASE("a run that was stopped early does not end a later run",
          "[loop][regression]") {
  event_loop loop;
  loop.Defer([&] { loop.Stop(); });
  loop.RunFor(milliseconds(20));
  bool fired = false;
  const auto timer = loop.After(milliseconds(60), [&] {
    fired = true;
    loop.Stop();
  });
  loop.RunFor(milliseconds(5000));
  CHECK(fired);
}

TEST_CASE("calls still deferred when the loop ends are released",
          "[loop][regression]") {
  const auto held = std::make_shared<int>(0);
  {
    event_loop loop;
    loop.Defer([held] {});
    CHECK(held.use_count() == 2);
  }
  CHECK(held.use_count() == 1);
}

}  // namespace
}  // namespace skylarkcroft

#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <optional>
#include <thread>

#include "skylarkcroft/control/skylarkcroft_timed_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/http/lossy_peer.h"

namespace skylarkcroft {
namespace {

using Catch::Matchers::Equals;

constexpr milliseconds kTestLimit{10000};
constexpr milliseconds kCallLimit{700};
constexpr milliseconds kStoppedAfter{50};
constexpr milliseconds kLateArrivals{2000};

struct timed_caller {
  event_loop loop;
  http_client client{loop};
  timed_http_client calls{loop, client, kCallLimit};
};

// A process that sends an order and stands still a moment later.
pid_t StartStoppedCaller(const lossy_peer& peer) {
  const pid_t pid = fork();
  if (pid != 0) {
    return pid;
  }
  timed_caller sender;
  sender.calls.Send(peer.address(), {}, [](const auto& /*response*/) {});
  const auto timer = sender.loop.After(kStoppedAfter, [] { raise(SIGSTOP); });
  sender.loop.RunFor(kTestLimit);
  _exit(0);
}

// Guards against orders that outlive their limit while their process, which
// would end them, stands still.
TEST_CASE("nothing of an order of a stopped process arrives after its limit",
          "[control][given_up]") {
  lossy_peer peer;
  const pid_t sender = StartStoppedCaller(peer);
  waitpid(sender, nullptr, WUNTRACED);
  std::this_thread::sleep_for(kCallLimit);
  peer.Heal();
  CHECK_THAT(peer.ReadFor(kLateArrivals), Equals(""));
  kill(sender, SIGKILL);
  waitpid(sender, nullptr, 0);
}

TEST_CASE("an order without an answer ends once, at its limit",
          "[control][given_up]") {
  lossy_peer peer;
  timed_caller sender;
  int ends = 0;
  const time_point started = SteadyNow();
  time_point ended{};
  sender.calls.Send(peer.address(), {},
                    [&](const std::optional<http_response>& response) {
                      ++ends;
                      ended = SteadyNow();
                      CHECK_FALSE(response.has_value());
                    });
  sender.loop.RunFor(2 * kCallLimit);
  CHECK(ends == 1);
  CHECK(ended - started >= kCallLimit);
}

}  // namespace
}  // namespace skylarkcroft

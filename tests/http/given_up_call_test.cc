#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/http/lossy_peer.h"

namespace skylarkcroft {
namespace {

using Catch::Matchers::Equals;

constexpr milliseconds kTestLimit{10000};
constexpr milliseconds kCallLimit{600};
constexpr milliseconds kLongerCallLimit{700};
constexpr milliseconds kGivenUpAfter{50};
// The system sends unacknowledged bytes again after about 0.2, 0.6 and 1.4 s.
constexpr milliseconds kLateArrivals{2000};

http_request Order() {
  http_request request;
  request.method = "POST";
  request.target = "/orders";
  request.body = "{}";
  return request;
}

// A caller on a loop of its own.
struct caller {
  http_call_ptr Send(const lossy_peer& peer, const http_call_options& options) {
    return client->Send(peer.address(), Order(), options,
                        {{}, {}, [this](const http_result& result) {
                           ended = result;
                           loop.Stop();
                         }});
  }

  event_loop loop;
  std::unique_ptr<http_client> client = std::make_unique<http_client>(loop);
  std::optional<http_result> ended;
};

// A process that sends a call and, a moment later, a signal to itself.
pid_t StartSignalledCaller(const lossy_peer& peer, int signal_number,
                           milliseconds limit) {
  const pid_t pid = fork();
  if (pid != 0) {
    return pid;
  }
  caller sender;
  http_call_options options;
  options.total_timeout = limit;
  const http_call_ptr call = sender.Send(peer, options);
  const auto timer = sender.loop.After(
      kGivenUpAfter, [signal_number] { raise(signal_number); });
  sender.loop.RunFor(kTestLimit);
  _exit(0);
}

// Guards against orders that arrive seconds after their call was given up,
// because the system kept what was not acknowledged and sent it again.
TEST_CASE("nothing of a call that was given up arrives later",
          "[http][given_up]") {
  lossy_peer peer;
  caller sender;
  http_call_options options;
  SECTION("at its total limit") {
    options.total_timeout = kCallLimit;
    const http_call_ptr call = sender.Send(peer, options);
    sender.loop.RunFor(kTestLimit);
  }
  SECTION("at its silence limit") {
    options.progress_timeout = kCallLimit;
    const http_call_ptr call = sender.Send(peer, options);
    sender.loop.RunFor(kTestLimit);
  }
  SECTION("by its caller") {
    http_call_ptr call = sender.Send(peer, options);
    sender.loop.RunFor(kGivenUpAfter);
    call.reset();
    sender.loop.RunFor(kGivenUpAfter);
  }
  SECTION("with its client") {
    const http_call_ptr call = sender.Send(peer, options);
    sender.loop.RunFor(kGivenUpAfter);
    sender.client.reset();
    sender.loop.RunFor(kGivenUpAfter);
  }
  peer.Heal();
  CHECK_THAT(peer.ReadFor(kLateArrivals), Equals(""));
}

// Guards against calls of ended processes that the system goes on sending.
TEST_CASE("nothing of a call arrives after the end of its process",
          "[http][given_up]") {
  lossy_peer peer;
  const pid_t sender = StartSignalledCaller(peer, SIGKILL, kCallLimit);
  waitpid(sender, nullptr, 0);
  peer.Heal();
  CHECK_THAT(peer.ReadFor(kLateArrivals), Equals(""));
}

// Guards against calls that outlive their limit while their process, which
// would end them, stands still.
TEST_CASE("nothing of a call of a stopped process arrives after its limit",
          "[http][given_up]") {
  const milliseconds limit = GENERATE(kCallLimit, kLongerCallLimit);
  lossy_peer peer;
  const pid_t sender = StartSignalledCaller(peer, SIGSTOP, limit);
  waitpid(sender, nullptr, WUNTRACED);
  std::this_thread::sleep_for(limit);
  peer.Heal();
  CHECK_THAT(peer.ReadFor(kLateArrivals), Equals(""));
  kill(sender, SIGKILL);
  waitpid(sender, nullptr, 0);
}

// The link of the tests above loses no call that is not given up.
TEST_CASE("a call that still waits arrives once its link has healed",
          "[http][given_up]") {
  lossy_peer peer;
  caller sender;
  const http_call_ptr call = sender.Send(peer, {});
  sender.loop.RunFor(kGivenUpAfter);
  peer.Heal();
  CHECK(peer.ReadFor(kLateArrivals).starts_with("POST /orders"));
}

}  // namespace
}  // namespace skylarkcroft

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/relay/skylarkcroft_binding_limits.h"
#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;

constexpr milliseconds kShort{2000};
constexpr milliseconds kLong{6000};
constexpr size_t kSmall = 1000;
constexpr size_t kLarge = 4000;
constexpr size_t kBetween = 2000;
// Several sweeps of the relay.
constexpr milliseconds kSweeps{110};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

enum class field { kHeadBytes, kBodyBytes, kHeadTimeout, kIdleTimeout };
enum class state { kFresh, kAnswered, kReadsHead, kReadsBody };

client_limits AllSmall() { return {kSmall, kSmall, kShort, kShort}; }

client_limits WithLarge(field which) {
  client_limits limits = AllSmall();
  switch (which) {
    case field::kHeadBytes:
      limits.max_head_bytes = kLarge;
      break;
    case field::kBodyBytes:
      limits.max_body_bytes = kLarge;
      break;
    case field::kHeadTimeout:
      limits.head_timeout = kLong;
      break;
    case field::kIdleTimeout:
      limits.idle_timeout = kLong;
      break;
  }
  return limits;
}

/// Whether `which` bounds the time that a connection may stay in `in`.
bool Bounds(field which, state in) {
  return which ==
         (in == state::kReadsHead ? field::kHeadTimeout : field::kIdleTimeout);
}

std::string RequestWith(size_t head_bytes, size_t body_bytes) {
  return relay_fixture::Request(
      "/once/", "r2", "X-Fill: " + std::string(head_bytes, 'x') + "\r\n",
      std::string(body_bytes, 'x'));
}

/// A relay whose limits for clients change, with a clock that can be moved on,
/// and one client.
class changing_relay : public relay_fixture {
 public:
  explicit changing_relay(const client_limits& limits) {
    map.limits = limits;
    environment.clock = [this] { return SteadyNow() + moved_; };
    SetHandler([](const received_request& request) {
      request.write(Response(request, "done"));
    });
    client = std::make_unique<raw_client>(loop, server.address());
    REQUIRE(Await([&] { return server.clients() == 1; }));
  }

  void BringInto(state in) {
    const std::string request = Request("/once/", "r1");
    if (in == state::kAnswered) {
      client->Send(request);
      REQUIRE(Await([&] { return Contains(client->received, "done"); }));
    } else if (in == state::kReadsHead) {
      client->Send(request.substr(0, request.size() / 2));
    } else if (in == state::kReadsBody) {
      client->Send(request.substr(0, request.size() - 1));
    }
    loop.RunFor(milliseconds(20));
  }
  void Change(const client_limits& limits) {
    map.limits = limits;
    loop.RunFor(kSweeps);
  }
  /// Moves the clock on and lets the relay sweep; returns whether the relay has
  /// ended the connection or refused its request.
  bool IsGivenUpAfter(milliseconds time) {
    moved_ += time;
    loop.RunFor(kSweeps);
    return client->closed || Contains(client->received, "HTTP/1.1 408");
  }

  std::unique_ptr<raw_client> client;

 private:
  milliseconds moved_{0};
};

}  // namespace

// Guards against connections that are ended by a limit that was raised, which
// their clients no longer go by.
TEST_CASE("A raised time limit binds at once, a lowered one only later",
          "[relay][client_limits][regression]") {
  const field changed = GENERATE(field::kHeadBytes, field::kBodyBytes,
                                 field::kHeadTimeout, field::kIdleTimeout);
  const bool up = GENERATE(true, false);
  const state in = GENERATE(state::kFresh, state::kAnswered, state::kReadsHead,
                            state::kReadsBody);
  CAPTURE(static_cast<int>(changed), up, static_cast<int>(in));
  changing_relay relay(up ? AllSmall() : WithLarge(changed));
  relay.BringInto(in);
  relay.Change(up ? WithLarge(changed) : AllSmall());
  CHECK(relay.IsGivenUpAfter(kShort) != Bounds(changed, in));
  CHECK(relay.IsGivenUpAfter(kLong - kShort));
}

// Guards against a request that is refused for a size that is allowed by now.
TEST_CASE("A raised size limit binds at once, a lowered one after the request",
          "[relay][client_limits][regression]") {
  const field changed = GENERATE(field::kHeadBytes, field::kBodyBytes);
  const bool up = GENERATE(true, false);
  const state in = GENERATE(state::kFresh, state::kAnswered, state::kReadsHead);
  CAPTURE(static_cast<int>(changed), up, static_cast<int>(in));
  const std::string request = changed == field::kHeadBytes
                                  ? RequestWith(kBetween, 2)
                                  : RequestWith(2, kBetween);
  constexpr size_t kSentBefore = 20;
  changing_relay relay(up ? AllSmall() : WithLarge(changed));
  if (in == state::kReadsHead) {
    relay.client->Send(request.substr(0, kSentBefore));
    relay.loop.RunFor(milliseconds(20));
  } else {
    relay.BringInto(in);
  }
  relay.client->received.clear();
  relay.Change(up ? WithLarge(changed) : AllSmall());
  relay.client->Send(in == state::kReadsHead ? request.substr(kSentBefore)
                                             : request);
  relay.Await([&] { return Contains(relay.client->received, "\r\n\r\n"); });
  const bool answered = Contains(relay.client->received, "HTTP/1.1 200");
  CHECK(answered == (up || in == state::kReadsHead));
}

// Guards against an idle time that is bounded by the limit of the moment in
// which the request began.
TEST_CASE("The idle limit is the one in force when the answer ends",
          "[relay][client_limits][regression]") {
  const bool up = GENERATE(true, false);
  const client_limits large = WithLarge(field::kIdleTimeout);
  changing_relay relay(up ? AllSmall() : large);
  std::vector<received_request> pending;
  relay.SetHandler(
      [&](const received_request& request) { pending.push_back(request); });
  relay.client->Send(relay_fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return pending.size() == 1; }));
  relay.Change(up ? large : AllSmall());
  pending.front().write(relay_fixture::Response(pending.front(), "done"));
  REQUIRE(
      relay.Await([&] { return Contains(relay.client->received, "done"); }));
  CHECK(relay.IsGivenUpAfter(kShort) != up);
  CHECK(relay.IsGivenUpAfter(kLong - kShort));
}

// Guards against connections that were accepted before the tables were known
// and are ended by the default limit.
TEST_CASE("Limits of the first tables bind connections that were there before",
          "[relay][client_limits][regression]") {
  client_limits first = WithLarge(field::kIdleTimeout);
  first.idle_timeout = 2 * client_limits{}.idle_timeout;
  changing_relay relay(AllSmall());
  const auto known = relay.environment.active_tables;
  relay.environment.active_tables = [] { return tables_snapshot{}; };
  relay.client =
      std::make_unique<raw_client>(relay.loop, relay.server.address());
  relay.loop.RunFor(kSweeps);
  relay.environment.active_tables = known;
  relay.Change(first);
  CHECK_FALSE(relay.IsGivenUpAfter(client_limits{}.idle_timeout));
  CHECK(relay.IsGivenUpAfter(client_limits{}.idle_timeout));
}

// Guards against a raise that is not seen as it lasts for less than a sweep.
TEST_CASE("A raised limit that is lowered before the next sweep counts",
          "[relay][client_limits]") {
  changing_relay relay(AllSmall());
  relay.map.limits = WithLarge(field::kIdleTimeout);
  relay.server.OnTablesChanged();
  relay.Change(AllSmall());
  CHECK_FALSE(relay.IsGivenUpAfter(kShort));
  CHECK(relay.IsGivenUpAfter(kLong - kShort));
}

// Guards against connections that are ended by a limit which their clients know
// to be raised before this node does.
TEST_CASE("A limit binds only once a raise of it would be known",
          "[relay][client_limits][regression]") {
  constexpr milliseconds kDelay{1000};
  const state in = GENERATE(state::kFresh, state::kAnswered, state::kReadsHead,
                            state::kReadsBody);
  const bool raised = GENERATE(true, false);
  changing_relay relay(AllSmall());
  relay.environment.parameters.max_tables_delay = kDelay;
  relay.BringInto(in);
  CHECK_FALSE(relay.IsGivenUpAfter(kShort));
  if (raised) {
    relay.Change({kSmall, kSmall, kLong, kLong});
  }
  CHECK(relay.IsGivenUpAfter(kDelay) != raised);
  CHECK(relay.IsGivenUpAfter(kLong));
}

TEST_CASE("Of each limit the largest of its period binds",
          "[relay][client_limits]") {
  binding_limits limits{{10, 20, milliseconds(30), milliseconds(40)}};
  limits.OnChange({11, 19, milliseconds(31), milliseconds(39)});
  limits.OnChange({9, 21, milliseconds(29), milliseconds(41)});
  CHECK(limits.limits() ==
        client_limits{11, 21, milliseconds(31), milliseconds(41)});
  limits.Restart({1, 2, milliseconds(3), milliseconds(4)});
  CHECK(limits.limits() ==
        client_limits{1, 2, milliseconds(3), milliseconds(4)});
}

TEST_CASE("The end of an idle connection tells its idle time and its limit",
          "[relay][client_limits]") {
  const bool had_request = GENERATE(false, true);
  changing_relay relay(AllSmall());
  std::vector<client_end> ends;
  relay.environment.on_client_ended = [&](const client_end& end) {
    ends.push_back(end);
  };
  relay.BringInto(had_request ? state::kAnswered : state::kFresh);
  REQUIRE(relay.IsGivenUpAfter(kShort));
  REQUIRE(ends.size() == 1);
  CHECK(ends.front().had_request == had_request);
  CHECK(ends.front().idle_limit == kShort);
  CHECK(ends.front().IdleTime() == idle_time::kPastLimit);
  CHECK_FALSE(ends.front().IsEarly());
}

TEST_CASE("An end within the idle limit or soon after a request is early",
          "[relay][client_limits]") {
  client_end end;
  end.idle_limit = kLong;
  end.idle = kLong - milliseconds(1);
  CHECK(end.IdleTime() == idle_time::kWithinLimit);
  CHECK(end.IsEarly());
  end.reason = client_end_reason::kLeaving;
  CHECK_FALSE(end.IsEarly());
  end.idle = kMaxRequestDelay - milliseconds(1);
  CHECK(end.IdleTime() == idle_time::kShort);
  CHECK(end.IsEarly());
  end.reason = client_end_reason::kExcess;
  CHECK_FALSE(end.IsEarly());
  end.idle.reset();
  CHECK(end.IdleTime() == idle_time::kNone);
}

}  // namespace skylarkcroft

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/peers/skylarkcroft_broadcast_queue.h"
#include "skylarkcroft/peers/skylarkcroft_forwarded_datagram.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr size_t kPacketBytes = 1472;

std::vector<endpoint> Targets(size_t count) {
  std::vector<endpoint> targets;
  targets.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    targets.push_back({"10.200.100.1", static_cast<uint16_t>(10000 + i)});
  }
  return targets;
}

/// Time until the queue has sent everything.
milliseconds TimeToSend(broadcast_queue& queue) {
  milliseconds passed{0};
  for (; !queue.empty(); passed += milliseconds(10)) {
    (void)queue.NextDue(kStart + passed);
  }
  return passed;
}

}  // namespace

TEST_CASE("A forwarded datagram is unchanged after encoding and decoding",
          "[peers][forward]") {
  const forwarded_datagram sent{Targets(3), std::string("pay\0load", 8)};
  CHECK(DecodeForwarded(EncodeForwarded(sent)) == sent);
  CHECK_FALSE(DecodeForwarded("other").has_value());
  CHECK_FALSE(
      DecodeForwarded(EncodeForwarded({Targets(13), "load"})).has_value());
}

TEST_CASE("Every peer is in one group", "[peers][forward]") {
  const size_t count = GENERATE(0, 1, 6, 16, 17, 88, 194, 346);
  std::vector<endpoint> reached;
  for (const forward_group& group : MakeForwardGroups(Targets(count))) {
    reached.push_back(group.first);
    reached.insert(reached.end(), group.others.begin(), group.others.end());
    const std::string bytes =
        EncodeForwarded({group.others, std::string(1200, 'p')});
    CHECK(bytes.size() <= kPacketBytes);
  }
  CHECK(reached == Targets(count));
}

// Guards against nodes that read the store because the changes that others read
// wait in a watching node's queue: 90 upstreams that register at once take some
// 20 datagrams.
TEST_CASE("Forwarded changes reach all nodes in a quarter of the time",
          "[peers][forward][scale]") {
  const size_t nodes = GENERATE(89, 195, 347);
  const std::vector<std::string> datagrams(20, std::string(1200, 'c'));
  broadcast_queue direct(800000);
  direct.Add(datagrams, Targets(nodes - 1));
  broadcast_queue sender(800000);
  size_t largest = 0;
  for (const forward_group& group : MakeForwardGroups(Targets(nodes - 1))) {
    largest = std::max(largest, group.others.size());
    for (const std::string& datagram : datagrams) {
      sender.Add({EncodeForwarded({group.others, datagram})}, {group.first});
    }
  }
  broadcast_queue forwarder(800000);
  forwarder.Add(datagrams, Targets(largest));
  CHECK(4 * (TimeToSend(sender) + TimeToSend(forwarder)) <= TimeToSend(direct));
}

}  // namespace skylarkcroft

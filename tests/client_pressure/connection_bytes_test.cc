#include <catch2/catch.hpp>
#include <string>

#include "tests/client_pressure/client_crowd.h"
#include "tests/client_pressure/pressure_world.h"

namespace skylarkcroft {
namespace {

struct connection_state {
  std::string name;
  std::string sent;
  size_t clients;
};

connection_state StateOf(int number) {
  const std::string start =
      "POST /plain/a HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: c\r\n"
      "X-Remaining-Milliseconds: 20000\r\nX-Key: k\r\n";
  std::string half_head = start;
  while (half_head.size() < 8192) {
    half_head += "a:b\r\n";
  }
  switch (number) {
    case 0:
      return {"idle", "", 1000};
    case 1:
      return {"8 KB of a head read", half_head, 1000};
    case 2:
      return {
          "64 KB of a body of 128 KB read",
          start + "Content-Length: 131072\r\n\r\n" + std::string(65536, 'b'),
          500};
    default:
      return {"stream of 4 MB that its client does not read",
              "POST /stream/a HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: c\r\n"
              "X-Remaining-Milliseconds: 20000\r\nX-Key: k\r\n"
              "Content-Length: 2\r\n\r\nhi",
              50};
  }
}

}  // namespace

// Tells what a connection takes of the relay's memory; checks nothing, so that
// it runs only when it is named.
TEST_CASE("Bytes held a connection", "[.][measure]") {
  const connection_state state = StateOf(GENERATE(0, 1, 2, 3));
  pressure_terms terms;
  terms.memory_mb = 0;
  pressure_world world(terms);
  world.Settle();
  const int64_t before = world.ResidentKib();
  client_crowd crowd(world.clients());
  crowd.Connect(state.clients, state.sent);
  crowd.Send(milliseconds(3000));
  world.Settle();
  const auto clients = static_cast<int64_t>(state.clients);
  constexpr int64_t kBytesOfKib = 1024;
  WARN(state.name << ": " << state.clients << " connections, "
                  << (world.ResidentKib() - before) * kBytesOfKib / clients
                  << " bytes each");
}

}  // namespace skylarkcroft

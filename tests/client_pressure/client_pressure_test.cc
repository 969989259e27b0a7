#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <string>

#include "tests/client_pressure/client_crowd.h"
#include "tests/client_pressure/pressure_world.h"

namespace skylarkcroft {
namespace {

constexpr int64_t kKibOfMb = 1024;
constexpr milliseconds kStall{3000};
constexpr milliseconds kServedLimit{30000};
// Of the file descriptors of the smallest host.
constexpr size_t kMaxDescriptors = 3075;
constexpr size_t kHeadBytes = 16384;
constexpr size_t kBodyBytes = 1048576;

std::string Head(const std::string& path, const std::string& fields) {
  return "POST " + path +
         "a HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: c\r\n"
         "X-Remaining-Milliseconds: 20000\r\nX-Key: k\r\n" +
         fields;
}

std::string Repeated(const std::string& part, size_t bytes) {
  std::string text;
  while (text.size() + part.size() <= bytes) {
    text += part;
  }
  return text;
}

/// A chunked request that lacks its last chunk, with `body_bytes` in chunks of
/// `chunk_bytes`.
std::string UnfinishedBody(size_t body_bytes, size_t chunk_bytes) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", chunk_bytes);
  const std::string chunk =
      size.data() + std::string(chunk_bytes, 'b') + "\r\n";
  std::string request = Head("/plain/", "Transfer-Encoding: chunked\r\n\r\n");
  request.reserve(request.size() + body_bytes / chunk_bytes * chunk.size());
  for (size_t at = 0; at + chunk_bytes <= body_bytes; at += chunk_bytes) {
    request += chunk;
  }
  return request;
}

void CheckHolds(pressure_world& world, int64_t memory_mb,
                size_t max_descriptors) {
  world.Settle();
  REQUIRE(world.IsRunning());
  CHECK(world.OpenDescriptors() <= max_descriptors);
  CHECK(world.IsServed(kServedLimit));
  REQUIRE(world.IsRunning());
  const int64_t peak_kib = world.PeakKib();
  WARN("peak " << peak_kib << " KiB, " << world.OpenDescriptors()
               << " descriptors");
  CHECK(peak_kib <= memory_mb * kKibOfMb);
  CHECK(world.OpenDescriptors() <= max_descriptors);
}

}  // namespace

// Guards against heads of legal size whose storage costs many times their
// bytes, as each line is kept as two strings.
TEST_CASE("Heads of very many short lines stay within the memory",
          "[client_pressure][heads]") {
  const std::string line = GENERATE("a:b\r\n", "a:\r\n", "\t\r\n");
  CAPTURE(line);
  constexpr size_t kClients = 800;
  const pressure_terms terms;
  pressure_world world(terms);
  client_crowd crowd(world.clients());
  // A line of white space continues the field before it.
  crowd.Connect(kClients,
                Head("/plain/", "a: b\r\n") + Repeated(line, kHeadBytes - 200));
  crowd.Send(kStall);
  CheckHolds(world, terms.memory_mb, kMaxDescriptors);
}

// Guards against heads that grow while they have no end.
TEST_CASE("Heads without end stay within the memory",
          "[client_pressure][heads]") {
  const std::string part = GENERATE("a: bbbbbbbbbbbbbbbbbbbbbbbb\r\n", "a");
  CAPTURE(part);
  constexpr size_t kClients = 400;
  constexpr size_t kSentBytes = 4194304;
  const pressure_terms terms;
  pressure_world world(terms);
  client_crowd crowd(world.clients());
  crowd.Connect(kClients,
                Head("/plain/", "a: b\r\n") + Repeated(part, kSentBytes));
  crowd.Send(kStall);
  CheckHolds(world, terms.memory_mb, kMaxDescriptors);
}

// Guards against empty lines before a request that are taken without end: they
// count towards the head, so that the connection ends at its limit.
TEST_CASE("Empty lines without end stay within the memory",
          "[client_pressure][heads]") {
  constexpr size_t kClients = 200;
  constexpr size_t kSentBytes = 16777216;
  const pressure_terms terms;
  pressure_world world(terms);
  client_crowd crowd(world.clients());
  crowd.Connect(kClients, Repeated("\r\n", 65536));
  crowd.SendRepeatedly(kSentBytes, kStall);
  CheckHolds(world, terms.memory_mb, kMaxDescriptors);
}

// Guards against bodies that are each within the limit and together beyond the
// memory.
TEST_CASE("Chunked bodies that stop just short stay within the memory",
          "[client_pressure][bodies]") {
  const auto chunk_bytes = GENERATE(1048576U, 4096U, 1U);
  CAPTURE(chunk_bytes);
  constexpr size_t kClients = 150;
  const pressure_terms terms;
  pressure_world world(terms);
  client_crowd crowd(world.clients());
  crowd.Connect(kClients, UnfinishedBody(kBodyBytes, chunk_bytes));
  crowd.Send(kStall);
  CheckHolds(world, terms.memory_mb, kMaxDescriptors);
}

// Guards against idle connections that leave no descriptor for connections to
// upstreams or for further clients.
TEST_CASE("Bodies beside idle connections at the descriptor limit",
          "[client_pressure][descriptors]") {
  constexpr size_t kIdle = 320;
  constexpr size_t kClients = 120;
  pressure_terms terms;
  terms.file_descriptors = 400;
  pressure_world world(terms);
  client_crowd idle(world.clients());
  idle.Connect(kIdle, "");
  client_crowd crowd(world.clients());
  crowd.Connect(kClients, UnfinishedBody(kBodyBytes, 4096));
  crowd.Send(kStall);
  constexpr size_t kLeftForUpstreams = 40;
  CheckHolds(world, terms.memory_mb,
             static_cast<size_t>(terms.file_descriptors) - kLeftForUpstreams);
}

// Guards against answers that are kept for clients which read slowly, each
// within its limit and together beyond the memory.
TEST_CASE("Slow readers of large answers stay within the memory",
          "[client_pressure][answers]") {
  constexpr size_t kClients = 300;
  const pressure_terms terms;
  pressure_world world(terms);
  client_crowd crowd(world.clients());
  crowd.Connect(kClients, Head("/large/", "Content-Length: 2\r\n\r\nhi"));
  crowd.Send(kStall);
  CheckHolds(world, terms.memory_mb, kMaxDescriptors);
}

// Guards against the events that are held back for slow readers of streams,
// which are bounded for each client and not for all together.
TEST_CASE("Slow readers of streams stay within the memory",
          "[client_pressure][answers]") {
  constexpr size_t kClients = 200;
  pressure_terms terms;
  // A smaller bound than the smallest host's, as a stream has to be larger than
  // the system's buffers on loopback before the relay holds events back.
  terms.memory_mb = 60;
  pressure_world world(terms);
  client_crowd crowd(world.clients());
  crowd.Connect(kClients, Head("/stream/", "Content-Length: 2\r\n\r\nhi"));
  crowd.Send(kStall);
  CheckHolds(world, terms.memory_mb, kMaxDescriptors);
}

// Guards against answers of faulty upstreams that do not end, each within its
// limit and together beyond the memory.
TEST_CASE("Answers that do not end stay within the memory",
          "[client_pressure][answers][endless]") {
  const std::string path = GENERATE("/open-body/", "/open-event/");
  CAPTURE(path);
  constexpr size_t kClients = 60;
  const pressure_terms terms;
  pressure_world world(terms);
  client_crowd crowd(world.clients());
  crowd.Connect(kClients, Head(path, "Content-Length: 2\r\n\r\nhi"));
  crowd.Send(kStall);
  CheckHolds(world, terms.memory_mb, kMaxDescriptors);
}

}  // namespace skylarkcroft

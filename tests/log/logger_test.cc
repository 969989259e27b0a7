#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/log/skylarkcroft_log_queue.h"
#include "skylarkcroft/log/skylarkcroft_logger.h"

namespace skylarkcroft {
namespace {

constexpr size_t kSmallQueue = 16 * 1024;
constexpr milliseconds kLoopTurn{100};

// A pipe whose writing end blocks, as an inherited stderr does.
class pipe_pair {
 public:
  pipe_pair() {
    REQUIRE(pipe(ends_.data()) == 0);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~pipe_pair() {
    CloseReader();
    close(ends_[1]);
  }
  pipe_pair(const pipe_pair&) = delete;
  pipe_pair& operator=(const pipe_pair&) = delete;

  int writer() const { return ends_[1]; }

  void CloseReader() {
    if (ends_[0] >= 0) {
      close(ends_[0]);
    }
    ends_[0] = -1;
  }

  std::string Read() {
    std::string text;
    std::array<char, 4096> block{};
    ssize_t size = 0;
    while ((size = read(ends_[0], block.data(), block.size())) > 0) {
      text.append(block.data(), static_cast<size_t>(size));
    }
    return text;
  }

 private:
  std::array<int, 2> ends_{-1, -1};
};

std::vector<nlohmann::json> ParseLines(const std::string& text) {
  std::vector<nlohmann::json> lines;
  std::istringstream input(text);
  std::string line;
  while (std::getline(input, line)) {
    lines.push_back(nlohmann::json::parse(line));
  }
  return lines;
}

size_t ThreadCount() {
  const std::filesystem::directory_iterator threads("/proc/self/task");
  return static_cast<size_t>(std::distance(begin(threads), end(threads)));
}

TEST_CASE("an entry becomes one JSON line with its fields", "[log]") {
  event_loop loop;
  pipe_pair pipes;
  logger log(loop, {pipes.writer(), log_level::kInfo, kSmallQueue});
  log.Log({log_level::kWarn,
           "a \"quoted\"\nmessage",
           "r-1",
           "driver",
           "0",
           "10.0.0.1:80",
           {{"reason", "queue_full"}}});
  CHECK(pipes.Read().empty());
  loop.RunFor(kLoopTurn);
  const std::vector<nlohmann::json> lines = ParseLines(pipes.Read());
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].at("level") == "warn");
  CHECK(lines[0].at("message") == "a \"quoted\"\nmessage");
  CHECK(lines[0].at("request_id") == "r-1");
  CHECK(lines[0].at("caller") == "driver");
  CHECK(lines[0].at("rank") == "0");
  CHECK(lines[0].at("upstream") == "10.0.0.1:80");
  CHECK(lines[0].at("reason") == "queue_full");
  CHECK(lines[0].at("time").get<std::string>().back() == 'Z');
}

TEST_CASE("a message that is not UTF-8 still makes a valid line", "[log]") {
  event_loop loop;
  pipe_pair pipes;
  logger log(loop, {pipes.writer(), log_level::kInfo, kSmallQueue});
  log.Log({.message = "bad \xff byte"});
  log.Flush();
  REQUIRE(ParseLines(pipes.Read()).size() == 1);
}

TEST_CASE("the level decides what is written and changes at run time",
          "[log]") {
  event_loop loop;
  pipe_pair pipes;
  logger log(loop, {pipes.writer(), log_level::kWarn, kSmallQueue});
  log.Log({.message = "hidden"});
  log.SetLevel(log_level::kDebug);
  CHECK(log.level() == log_level::kDebug);
  CHECK(log.IsEnabled(log_level::kDebug));
  CHECK_FALSE(log.IsEnabled(log_level::kTrace));
  log.Log({.level = log_level::kDebug, .message = "shown"});
  log.Flush();
  const std::vector<nlohmann::json> lines = ParseLines(pipes.Read());
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].at("message") == "shown");
}

TEST_CASE("a full pipe blocks nothing and the dropped lines are counted",
          "[log]") {
  event_loop loop;
  pipe_pair pipes;
  logger log(loop, {pipes.writer(), log_level::kInfo, kSmallQueue});
  constexpr uint64_t kLines = 5000;
  for (uint64_t line = 0; line < kLines; ++line) {
    log.Log({.message = "line", .request_id = std::to_string(line)});
    log.Flush();
  }
  REQUIRE(log.dropped_lines() > 0);
  CHECK(log.queued_bytes() <= kSmallQueue);
  const uint64_t dropped = log.dropped_lines();

  std::string text;
  while (log.queued_bytes() > 0) {
    text += pipes.Read();
    loop.RunFor(kLoopTurn);
  }
  text += pipes.Read();
  const std::vector<nlohmann::json> lines = ParseLines(text);
  REQUIRE(lines.size() == kLines - dropped + 1);
  CHECK(lines.back().at("dropped") == std::to_string(dropped));
  CHECK(lines.front().at("request_id") == "0");
}

TEST_CASE("a line longer than a pipe takes at once arrives whole", "[log]") {
  event_loop loop;
  pipe_pair pipes;
  logger log(loop, {pipes.writer(), log_level::kInfo, kSmallQueue});
  const std::string message(10000, 'x');
  log.Log({.message = message});
  log.Log({.message = "after"});
  loop.RunFor(kLoopTurn);
  const std::vector<nlohmann::json> lines = ParseLines(pipes.Read());
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].at("message") == message);
}

TEST_CASE("lines for a reader that has gone are dropped and counted", "[log]") {
  event_loop loop;
  pipe_pair pipes;
  log_queue queue(pipes.writer(), kSmallQueue);
  pipes.CloseReader();
  queue.Push("line\n");
  CHECK_FALSE(queue.Drain());
  CHECK(queue.empty());
  CHECK(queue.queued_bytes() == 0);
  CHECK(queue.dropped_lines() == 1);
}

TEST_CASE("logging starts no thread", "[log]") {
  const size_t before = ThreadCount();
  event_loop loop;
  pipe_pair pipes;
  logger log(loop, {pipes.writer(), log_level::kInfo, kSmallQueue});
  log.Log({.message = "x"});
  loop.RunFor(kLoopTurn);
  CHECK(ThreadCount() == before);
}

TEST_CASE("each level is found by its name", "[log]") {
  CHECK(ParseLogLevel("trace") == log_level::kTrace);
  CHECK(ParseLogLevel("error") == log_level::kError);
  CHECK_FALSE(ParseLogLevel("ERROR").has_value());
  CHECK_FALSE(ParseLogLevel("").has_value());
}

}  // namespace
}  // namespace skylarkcroft

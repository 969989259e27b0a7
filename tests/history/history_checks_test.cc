#include <catch2/catch.hpp>
#include <functional>
#include <sstream>
#include <string>

#include "tests/history/skylarkcroft_history_checks.h"
#include "tests/history/skylarkcroft_history_json.h"

namespace skylarkcroft::history {
namespace {

request_event Request(const std::string& key, int64_t call_ms,
                      int64_t return_ms, request_outcome outcome) {
  request_event request{"caller-1", "n1", key, call_ms, return_ms,
                        outcome,    "",   "",  ""};
  if (outcome == request_outcome::kAnswered) {
    request.expected = "text of " + key;
    request.received = request.expected;
  }
  return request;
}

/// A history with every kind of event, near each bound and within it.
run_history ValidHistory() {
  run_history valid;
  valid.requests = {Request("k1", 100, 200, request_outcome::kAnswered),
                    Request("k1", 300, 310, request_outcome::kAnswered),
                    Request("k2", 100, 150, request_outcome::kUnknown),
                    Request("k3", 100, 150, request_outcome::kNotRun),
                    Request("k4", 100, 150, request_outcome::kNotRun),
                    Request("k4", 200, 250, request_outcome::kAnswered),
                    Request("k5", 900, 1100, request_outcome::kNone),
                    Request("k9", 1005, 1008, request_outcome::kNone),
                    Request("k6", 2600, 2800, request_outcome::kNone),
                    Request("k7", 4990, 5200, request_outcome::kAnswered),
                    Request("k8", 5300, 5301, request_outcome::kNotSent)};
  valid.runs = {{"s1", "k1", 1, true},
                {"s2", "k2", 1, true},
                {"s2", "k4", 1, true},
                {"e1", "r1", 1, false},
                {"e2", "r1", 1, false}};
  valid.edits = {{"op-1", "n1", "a", 100, 200, edit_verdict::kAccepted, 3},
                 {"op-2", "n2", "b", 100, 210, edit_verdict::kRefused, 3},
                 {"op-2", "n2", "c", 300, 400, edit_verdict::kAccepted, 4},
                 {"op-2", "n2", "d", 500, kNeverMs, edit_verdict::kUnknown, 0}};
  valid.readings = {{"n1", 150, 160, 2, true},    {"n1", 4200, 4210, 3, true},
                    {"n1", 4220, 4230, 4, true},  {"n2", 4190, 4195, 2, true},
                    {"n2", 9000, 9010, 2, false}, {"n1", 6000, 6010, 0, false},
                    {"n1", 9000, 9010, 5, true}};
  valid.nodes = {
      {"n1", node_phase::kKilling, 1000},  {"n1", node_phase::kKilled, 1010},
      {"n1", node_phase::kStarting, 1500}, {"n1", node_phase::kPausing, 2500},
      {"n1", node_phase::kResumed, 2700},  {"n1", node_phase::kStopping, 5000},
      {"n1", node_phase::kEnded, 5250},    {"n1", node_phase::kStarting, 5500}};
  valid.leaves = {{"e1", 1000}};
  valid.leaving = {
      {"e1", 1500, 1510, 3}, {"e1", 4000, 4010, 4}, {"e1", 4500, 4510, 4}};
  valid.orders = {{"e1", "n1", 1, 100},
                  {"e2", "n2", 2, 110},
                  {"e1", "n1", 1, 200},
                  {"e1", "n2", 2, 300}};
  return valid;
}

TEST_CASE("every check accepts a valid history", "[history]") {
  CHECK(CheckAll(ValidHistory()).empty());
  CHECK(CheckAll({}).empty());
}

TEST_CASE("each check catches a violation of its own", "[history]") {
  struct seeded_violation {
    std::string check;
    std::string subject;
    std::function<void(run_history&)> seed;
  };
  const auto seeded = GENERATE(values<seeded_violation>({
      {"at_most_once", "k1",
       [](run_history& it) {
         it.runs.push_back({"s2", "k1", 1, true});
       }},
      {"at_most_once", "k2", [](run_history& it) { it.runs[1].runs = 2; }},
      {"not_run", "k3",
       [](run_history& it) {
         it.runs.push_back({"s1", "k3", 1, true});
       }},
      {"not_run", "r1",
       [](run_history& it) {
         it.requests.push_back(
             Request("r1", 100, 200, request_outcome::kNotRun));
       }},
      {"own_whole_answer", "k1",
       [](run_history& it) { it.requests[0].received = "text of k9"; }},
      {"own_whole_answer", "k7",
       [](run_history& it) { it.requests[9].received.pop_back(); }},
      {"outcome", "k1",
       [](run_history& it) {
         it.requests[1].outcome = request_outcome::kNone;
       }},
      {"outcome", "k5", [](run_history& it) { it.requests[6].node = "n2"; }},
      {"outcome", "k6", [](run_history& it) { it.requests[8].call_ms = 2750; }},
      {"outcome", "k9",
       [](run_history& it) {
         it.requests[7].call_ms = 1011;
         it.requests[7].return_ms = 1020;
       }},
      {"revisions", "n1",
       [](run_history& it) {
         it.readings.push_back({"n1", 4300, 4310, 3, true});
       }},
      {"revisions", "n2", [](run_history& it) { it.readings[4].revision = 1; }},
      {"revisions", "c", [](run_history& it) { it.edits[2].revision = 3; }},
      {"in_force", "n2",
       [](run_history& it) { it.readings[4].serving = true; }},
      {"in_force", "n1",
       [](run_history& it) {
         it.edits[0].return_ms = 140;
         it.readings[1].revision = 2;
       }},
      {"leaving", "e1", [](run_history& it) { it.leaving[2].received = 5; }},
      {"graceful_end", "n1",
       [](run_history& it) {
         it.requests[9].outcome = request_outcome::kNone;
       }},
      {"graceful_end", "n1",
       [](run_history& it) { it.nodes.erase(it.nodes.begin() + 6); }},
      {"fence", "e1",
       [](run_history& it) {
         it.orders.push_back({"e1", "n1", 1, 400});
       }},
      {"fence", "e2",
       [](run_history& it) {
         it.orders.push_back({"e2", "n1", 2, 400});
       }},
  }));
  run_history broken = ValidHistory();
  seeded.seed(broken);
  const violations found = CheckAll(broken);
  INFO(seeded.check << " of " << seeded.subject);
  REQUIRE_FALSE(found.empty());
  bool caught = false;
  for (const violation& one : found) {
    caught =
        caught || (one.check == seeded.check && one.subject == seeded.subject);
  }
  CHECK(caught);
}

TEST_CASE(
    "a request cut off by a graceful end counts although its node was "
    "paused before",
    "[history]") {
  run_history cut = ValidHistory();
  cut.requests = {Request("k1", 4900, 5100, request_outcome::kNone)};
  cut.nodes.insert(cut.nodes.begin() + 5, {"n1", node_phase::kPausing, 4950});
  CHECK(CheckOutcome(cut).empty());
  CHECK(CheckGracefulEnd(cut).size() == 1);
}

TEST_CASE("a history is read back as it was written", "[history]") {
  const run_history written = ValidHistory();
  std::stringstream lines;
  WriteJsonLines(written, lines);
  run_history read;
  ReadJsonLines(lines, read);
  CHECK(read == written);
}

TEST_CASE("a line that is no event is refused by number", "[history]") {
  const std::string bad =
      GENERATE(std::string("{"), std::string(R"({"event":"song"})"),
               std::string(R"({"event":"leave","upstream":5,"at_ms":1})"));
  std::stringstream lines(R"({"event":"leave","upstream":"e1","at_ms":1})"
                          "\n" +
                          bad + "\n");
  run_history read;
  CHECK_THROWS_WITH(ReadJsonLines(lines, read), Catch::StartsWith("line 2"));
}

}  // namespace
}  // namespace skylarkcroft::history

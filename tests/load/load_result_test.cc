#include <boost/property_tree/xml_parser.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

#include "load/skylarkcroft_comparison.h"
#include "load/skylarkcroft_group_recorder.h"
#include "load/skylarkcroft_load_result.h"
#include "load/skylarkcroft_result_plot.h"
#include "load/skylarkcroft_run_summary.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft::load {
namespace {

request_record Answer(int caller, int64_t tokens, milliseconds total) {
  request_record record;
  record.caller = caller;
  record.outcome = request_outcome::kAnswered;
  record.tokens = tokens;
  record.total = total;
  record.first_token = total / 2;
  return record;
}

caller_group Group() {
  caller_group group;
  group.name = "a <small> & \"odd\" name";
  group.rank = "urgent";
  group.callers = 2;
  group.targets.total = milliseconds(100);
  return group;
}

load_result Result(milliseconds latency) {
  group_recorder recorder(Group());
  recorder.Add(Answer(1, 30, latency));
  recorder.Add(Answer(2, 10, latency));
  load_result result;
  result.name = "flood";
  result.label = std::to_string(latency.count());
  result.duration_s = 2;
  result.groups = {recorder.Result()};
  result.upstreams = {2, {4, 100, 20, 40, 0, 0, 0, 0}, 1.5};
  return result;
}

const comparison_row& Row(const comparison& compared,
                          const std::string& figure) {
  const auto found = std::find_if(
      compared.rows.begin(), compared.rows.end(),
      [&](const comparison_row& row) { return row.figure == figure; });
  REQUIRE(found != compared.rows.end());
  return *found;
}

TEST_CASE("every request is in exactly one outcome", "[load]") {
  group_recorder recorder(Group());
  recorder.Add(Answer(1, 5, milliseconds(100)));
  recorder.Add(Answer(1, 5, milliseconds(101)));
  request_record wrong = Answer(1, 5, milliseconds(1));
  wrong.faults.foreign_tokens = 1;
  recorder.Add(wrong);
  request_record refused;
  refused.outcome = request_outcome::kRefused;
  refused.reason = "queue_full";
  refused.run_state = "not_run";
  recorder.Add(refused);
  request_record lost;
  lost.reason = "broken";
  recorder.Add(lost);
  const group_result group = recorder.Result();
  CHECK(group.sent == 5);
  CHECK(group.answered == 3);
  CHECK(group.whole == 2);
  CHECK(group.wrong == 1);
  CHECK(group.refused == 1);
  CHECK(group.lost == 1);
  CHECK(group.targets_met == 1);
  CHECK(group.TargetShare() == Approx(0.2));
  CHECK(group.total.count == 3);
}

TEST_CASE("a target on the time between tokens is held against the mean",
          "[load]") {
  caller_group definition = Group();
  definition.targets = {};
  definition.targets.between_tokens = milliseconds(30);
  group_recorder recorder(definition);
  request_record record = Answer(1, 3, milliseconds(90));
  record.token_gaps = {milliseconds(40), milliseconds(20)};
  recorder.Add(record);
  CHECK(recorder.Result().targets_met == 1);
  record.token_gaps = {milliseconds(40), milliseconds(21)};
  recorder.Add(record);
  CHECK(recorder.Result().targets_met == 1);
}

TEST_CASE("fairness is Jain's index over the callers' tokens", "[load]") {
  CHECK(Result(milliseconds(10)).groups[0].Fairness() == Approx(0.8));
}

TEST_CASE("a result survives its JSON form", "[load]") {
  const load_result result = Result(milliseconds(10));
  CHECK(ParseResult(ToJson(result)) == result);
}

TEST_CASE("a damaged result is an error with its path", "[load]") {
  nlohmann::json document = ToJson(Result(milliseconds(10)));
  document["groups"][0]["sent"] = "two";
  CHECK_THROWS_WITH(ParseResult(document), Catch::Contains("$.groups[0].sent"));
}

TEST_CASE("a comparison gives ratios to the first result", "[load]") {
  const comparison compared =
      Compare({Result(milliseconds(200)), Result(milliseconds(50))});
  CHECK(compared.labels == std::vector<std::string>{"200", "50"});
  const comparison_row& latency = Row(compared, "total_p50_ms");
  CHECK(*latency.values[0].ratio == Approx(1));
  CHECK(*latency.values[1].ratio == Approx(0.25).epsilon(0.02));
  const comparison_row& share = Row(compared, "target_share");
  CHECK(share.values[1].value == 1.0);
  CHECK_FALSE(share.values[1].ratio.has_value());
  CHECK(*Row(compared, "tokens_per_s").values[0].value == Approx(20));
}

TEST_CASE("a group that a result lacks has no value there", "[load]") {
  load_result without = Result(milliseconds(50));
  without.groups.clear();
  const comparison compared = Compare({Result(milliseconds(200)), without});
  CHECK_FALSE(Row(compared, "sent").values[1].value.has_value());
}

TEST_CASE("a summary is in order only when every request has an outcome",
          "[load]") {
  load_result result = Result(milliseconds(10));
  CHECK(SummaryOf({result, result}) == run_summary{4, 4, 0, 0, 0, 0});
  CHECK(SummaryOf({result}).Ok());
  CHECK_FALSE(SummaryOf({}).Ok());
  group_result& group = result.groups[0];
  SECTION("a refusal is an outcome") {
    group.refused = 1;
    CHECK(SummaryOf({result}).Ok());
  }
  SECTION("a wrong answer is none") { group.wrong = 1; }
  SECTION("a lost request has none") { group.lost = 1; }
  SECTION("an open request has none") { group.open = 1; }
  if (group.refused == 0) {
    CHECK_FALSE(SummaryOf({result}).Ok());
  }
}

TEST_CASE("upstream counters are taken over the run only", "[load]") {
  const upstream_stats before = ParseUpstreamStats(
      R"({"requests":5,"generated_tokens":50,"runs":{"a":1,"b":2}})");
  const upstream_stats after = ParseUpstreamStats(
      R"({"requests":9,"generated_tokens":80,"runs":{"a":3,"b":2}})");
  const upstream_summary summary = Summarize({before, before}, {after, before});
  CHECK(summary.sums.requests == 4);
  CHECK(summary.sums.generated_tokens == 30);
  CHECK(summary.sums.repeated_runs == 2);
  CHECK(summary.busiest_over_mean == Approx(2.0));
}

TEST_CASE("the plot is well-formed XML with every group", "[load]") {
  std::istringstream text(
      PlotResults({Result(milliseconds(200)), Result(milliseconds(50))}));
  boost::property_tree::ptree tree;
  REQUIRE_NOTHROW(boost::property_tree::read_xml(text, tree));
  std::vector<std::string> texts;
  for (const auto& [name, element] : tree.get_child("svg")) {
    if (name == "text") {
      texts.push_back(element.data());
    }
  }
  for (const std::string label : {"200", "50"}) {
    CHECK_THAT(texts, Catch::VectorContains(Group().name + " · " + label));
  }
}

}  // namespace
}  // namespace skylarkcroft::load

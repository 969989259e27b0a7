#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/platform/skylarkcroft_group_commit.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kWait{200};

// Answers each transaction with the next prepared result.
class scripted_store final : public table_service {
 public:
  explicit scripted_store(event_loop& loop) : loop_(loop) {}

  void Get(const row_key&, read_done_fn) override {}
  void Query(const row_query&, query_done_fn) override {}
  void Write(const std::vector<row_write>& writes, const std::string& token,
             write_done_fn done) override {
    transactions.push_back(writes);
    tokens.push_back(token);
    const write_result result =
        results.empty() ? write_result{write_outcome::kCommitted, {}}
                        : results.front();
    if (!results.empty()) {
      results.pop_front();
    }
    loop_.Defer([done = std::move(done), result] { done(result); });
  }

  std::deque<write_result> results;
  std::vector<std::vector<row_write>> transactions;
  std::vector<std::string> tokens;

 private:
  event_loop& loop_;
};

row_write Row(const std::string& key) {
  row_write write;
  write.row = {{"p", key}, 1, "{}"};
  write.expected_version = 0;
  return write;
}

struct commit_fixture {
  commit_fixture()
      : store(loop), commits(loop, store, "t", Options(), SteadyNow) {}

  static group_commit_options Options() {
    group_commit_options options;
    options.resolve_limit = milliseconds(50);
    options.resolve_delay = milliseconds(10);
    return options;
  }

  void Write(const std::string& key) {
    outcomes.emplace_back();
    const size_t index = outcomes.size() - 1;
    commits.Write(Row(key), [this, index](row_outcome outcome) {
      outcomes[index] = outcome;
    });
  }

  event_loop loop;
  scripted_store store;
  group_commit commits;
  std::vector<std::optional<row_outcome>> outcomes;
};

TEST_CASE("rows written close together share one transaction",
          "[platform][group-commit]") {
  commit_fixture fixture;
  fixture.Write("a");
  fixture.Write("b");
  fixture.loop.RunFor(kWait);
  REQUIRE(fixture.store.transactions.size() == 1);
  CHECK(fixture.store.transactions[0].size() == 2);
  CHECK(fixture.outcomes[0] == row_outcome::kCommitted);
  CHECK(fixture.outcomes[1] == row_outcome::kCommitted);
}

TEST_CASE("two rows of one key never share a transaction",
          "[platform][group-commit][regression]") {
  commit_fixture fixture;
  fixture.Write("a");
  fixture.Write("a");
  fixture.Write("b");
  fixture.loop.RunFor(kWait);
  REQUIRE(fixture.store.transactions.size() == 2);
  CHECK(fixture.store.transactions[0].size() == 2);
  CHECK(fixture.store.transactions[1].size() == 1);
}

TEST_CASE("a refused row does not hold up the others",
          "[platform][group-commit]") {
  commit_fixture fixture;
  fixture.store.results = {{write_outcome::kConflict, {1}}};
  fixture.Write("a");
  fixture.Write("b");
  fixture.Write("c");
  fixture.loop.RunFor(kWait);
  CHECK(fixture.outcomes[0] == row_outcome::kCommitted);
  CHECK(fixture.outcomes[1] == row_outcome::kConflict);
  CHECK(fixture.outcomes[2] == row_outcome::kCommitted);
  CHECK(fixture.store.tokens[0] != fixture.store.tokens[1]);
}

TEST_CASE("a lost answer is repeated under its token and then told as unknown",
          "[platform][group-commit]") {
  commit_fixture fixture;
  SECTION("the repeat is answered") {
    fixture.store.results = {{write_outcome::kUnknown, {}}};
    fixture.Write("a");
    fixture.loop.RunFor(kWait);
    CHECK(fixture.outcomes[0] == row_outcome::kCommitted);
    CHECK(fixture.store.tokens[0] == fixture.store.tokens[1]);
  }
  SECTION("no repeat is answered") {
    fixture.store.results.assign(100, {write_outcome::kUnknown, {}});
    fixture.Write("a");
    fixture.loop.RunFor(kWait);
    CHECK(fixture.outcomes[0] == row_outcome::kUnknown);
  }
  SECTION("every repeat is refused") {
    fixture.store.results.assign(100, {write_outcome::kRejected, {}});
    fixture.Write("a");
    fixture.loop.RunFor(kWait);
    CHECK(fixture.outcomes[0] == row_outcome::kRejected);
  }
}

}  // namespace
}  // namespace skylarkcroft

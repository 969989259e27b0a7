#include <catch2/catch.hpp>

#include "skylarkcroft/duties/skylarkcroft_usage_journal.h"
#include "skylarkcroft/duties/skylarkcroft_usage_ledger.h"

namespace skylarkcroft {

TEST_CASE(
    "Usage totals sum all processes, including earlier processes of a node",
    "[duties][usage]") {
  usage_ledger ledger("self/2", 4);
  ledger.RecordBegun("w", 10);
  ledger.RecordBegun("w", 10);
  ledger.Merge("peer/1", {{10, "w", 5}});
  ledger.Merge("peer/2", {{10, "w", 1}, {10, "v", 7}});
  CHECK(ledger.Totals(10) ==
        std::vector<usage_count>{{10, "v", 7}, {10, "w", 8}});
}

TEST_CASE("Late and repeated usage reports change no count",
          "[duties][usage]") {
  usage_ledger ledger("self/1", 4);
  ledger.Merge("peer/1", {{10, "w", 5}});
  ledger.Merge("peer/1", {{10, "w", 4}});
  ledger.Merge("peer/1", {{10, "w", 5}});
  CHECK(ledger.Totals(10) == std::vector<usage_count>{{10, "w", 5}});
}

TEST_CASE("Windows older than the kept ones are dropped", "[duties][usage]") {
  usage_ledger ledger("self/1", 2);
  ledger.RecordBegun("w", 1);
  ledger.RecordBegun("w", 3);
  ledger.DropOldWindows(3);
  CHECK(ledger.Totals(1).empty());
  CHECK(ledger.OwnCounts() == std::vector<usage_count>{{3, "w", 1}});
}

TEST_CASE("A usage journal keeps the newest reports and can be decoded again",
          "[duties][usage]") {
  usage_journal journal;
  for (int64_t window = 1; window <= 6; ++window) {
    journal = journal.WithReport({window, {{window, "w", 10 * window}}}, 4);
  }
  CHECK(journal.reports.size() == 4);
  CHECK(journal.NewestWindow() == 6);
  CHECK(DecodeJournal(EncodeJournal(journal)) == journal);
  CHECK_FALSE(DecodeJournal("[{}]").has_value());
  CHECK_FALSE(DecodeJournal("nonsense").has_value());
}

// Guards against a second report of a window with other counts, after a row
// that is no journal was taken for one without reports.
TEST_CASE("A document that is no usage journal is not read as an empty one",
          "[duties][usage][odd_entry]") {
  const std::string odd = GENERATE(
      as<std::string>{}, "", "not a journal", "null", "{}", "7", "[[]]",
      R"([{"window": 5}])", R"([{"window": 5, "begun": 3}])",
      R"([{"window": 5, "begun": null}])", R"([{"window": 5, "begun": [1]}])");
  CHECK_FALSE(DecodeJournal(odd).has_value());
  CHECK(DecodeJournal("[]") == usage_journal{});
}

// Guards against a window that misses its deadline while a new holder repeats
// the reports of the one before, which come too late anyway.
TEST_CASE("A usage report that is still in time is sent before late ones",
          "[duties][usage][takeover][regression]") {
  usage_journal journal;
  for (const int64_t window : {7, 8, 9, 10}) {
    journal = journal.WithReport({window, {}}, 4);
  }
  CHECK(journal.NextUnaccepted({}, 10)->window == 10);
  CHECK(journal.NextUnaccepted({10}, 10)->window == 7);
  CHECK(journal.NextUnaccepted({}, 8)->window == 8);
  CHECK_FALSE(journal.NextUnaccepted({7, 8, 9, 10}, 9).has_value());
}

}  // namespace skylarkcroft

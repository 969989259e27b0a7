#ifndef SKYLARKCROFT_TESTS_STORE_MEMORY_ROW_STORE_H_
#define SKYLARKCROFT_TESTS_STORE_MEMORY_ROW_STORE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "skylarkcroft/store/skylarkcroft_row_store.h"

namespace skylarkcroft {

/// A store of one table in memory; calls end when Answer() is called.
class memory_row_store final : public row_store {
 public:
  void Read(const std::string& /*table*/, store_done_fn done) override {
    ++reads;
    pending_.emplace_back([this, done] {
      if (!reachable) {
        done({});
        return;
      }
      done({store_outcome::kDone, rows, version, now});
    });
  }
  void Watch(const std::string& /*table*/, int64_t /*version*/,
             milliseconds /*wait*/, store_done_fn /*done*/) override {}
  void Commit(const row_transaction& transaction, store_done_fn done) override {
    ++writes;
    pending_.emplace_back([this, transaction, done] {
      if (!reachable) {
        done({});
        return;
      }
      const bool met = std::all_of(
          transaction.conditions.begin(), transaction.conditions.end(),
          [this](const row_condition& condition) { return IsMet(condition); });
      if (!met) {
        done({store_outcome::kConflict, rows, version, now});
        return;
      }
      ++version;
      for (const row_change& change : transaction.changes) {
        std::erase_if(
            rows, [&](const stored_row& row) { return row.key == change.key; });
        if (change.value.has_value()) {
          rows.push_back({change.table, change.key, *change.value, version});
        }
      }
      done({store_outcome::kDone, {}, version, now});
    });
  }
  void Answer() {
    while (!pending_.empty()) {
      for (const auto& call : std::exchange(pending_, {})) {
        call();
      }
    }
  }

  std::vector<stored_row> rows;
  int64_t version = 0;
  milliseconds now{500000};
  bool reachable = true;
  int reads = 0;
  int writes = 0;

 private:
  [[nodiscard]] bool IsMet(const row_condition& condition) const {
    const auto row = std::find_if(
        rows.begin(), rows.end(),
        [&](const stored_row& other) { return other.key == condition.key; });
    return (row == rows.end() ? 0 : row->version) == condition.version;
  }

  std::vector<std::function<void()>> pending_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_STORE_MEMORY_ROW_STORE_H_

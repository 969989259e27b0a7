#ifndef SKYLARKCROFT_TESTS_STORE_TABLE_MODEL_H_
#define SKYLARKCROFT_TESTS_STORE_TABLE_MODEL_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/store/skylarkcroft_table_changes.h"
#include "skylarkcroft/store/skylarkcroft_table_follower.h"

namespace skylarkcroft {

/// The rows of a table by key; a removed row is absent.
using table_rows = std::map<std::string, stored_row>;

/// A table of a store that may come back from an older copy.
class table_model {
 public:
  void Put(const std::string& key, const std::string& value) {
    ++at_.version;
    log_.push_back({"t", key, value, at_.version, false});
  }
  void Remove(const std::string& key) {
    ++at_.version;
    log_.push_back({"t", key, "", at_.version, true});
  }
  void ChangeOtherTable() { ++at_.version; }
  void MakeCopy() { copy_version_ = at_.version; }
  void Restore() {
    ended_[at_.era] = log_;
    std::erase_if(log_, [this](const stored_row& row) {
      return row.version > copy_version_;
    });
    at_ = {at_.era + 1, copy_version_};
  }

  [[nodiscard]] const store_position& at() const { return at_; }
  /// The last change of each key in `era`, in the order of their versions.
  [[nodiscard]] std::vector<stored_row> LastChanges(int64_t era) const {
    const std::vector<stored_row>& log = era == at_.era ? log_ : ended_.at(era);
    std::vector<stored_row> last;
    for (const stored_row& row : log) {
      std::erase_if(
          last, [&](const stored_row& other) { return other.key == row.key; });
      last.push_back(row);
    }
    return last;
  }
  /// Every change of the present era after `version`, also those that a later
  /// one has superseded.
  [[nodiscard]] std::vector<stored_row> ChangesAfter(int64_t version) const {
    std::vector<stored_row> changes = log_;
    std::erase_if(changes, [version](const stored_row& row) {
      return row.version <= version;
    });
    return changes;
  }
  [[nodiscard]] table_rows Rows() const {
    table_rows rows;
    for (const stored_row& row : LastChanges(at_.era)) {
      if (!row.removed) {
        rows[row.key] = row;
      }
    }
    return rows;
  }

 private:
  store_position at_{1, 0};
  std::vector<stored_row> log_;
  std::map<int64_t, std::vector<stored_row>> ended_;
  int64_t copy_version_ = 0;
};

/// A node's connection to the store; a call is answered when the test says so.
class held_row_store final : public row_store {
 public:
  explicit held_row_store(const table_model& table) : table_(table) {}

  void Read(const std::string& /*table*/, store_done_fn done) override {
    make_answer_ = [this](milliseconds clock) {
      std::vector<stored_row> rows;
      for (const auto& [key, row] : table_.Rows()) {
        rows.push_back(row);
      }
      return store_response{store_outcome::kDone, rows, table_.at().version,
                            clock, table_.at().era};
    };
    done_ = std::move(done);
  }
  void Watch(const std::string& /*table*/, int64_t version,
             milliseconds /*wait*/, store_done_fn done) override {
    make_answer_ = [this, version](milliseconds clock) {
      if (version > table_.at().version) {
        return store_response{store_outcome::kHistoryGone,
                              {},
                              table_.at().version,
                              clock,
                              table_.at().era};
      }
      std::vector<stored_row> rows = table_.ChangesAfter(version);
      int64_t reached = table_.at().version;
      if (rows.size() > max_page_rows) {
        rows.resize(max_page_rows);
        reached = rows.back().version;
      }
      return store_response{store_outcome::kDone, rows,        reached, clock,
                            table_.at().era,      rows.empty()};
    };
    done_ = std::move(done);
  }
  void Commit(const row_transaction& /*transaction*/,
              store_done_fn /*done*/) override {}

  /// Changes in one answer at most; one that has left out later changes states
  /// the version of its last row, and the store's present clock.
  size_t max_page_rows = std::numeric_limits<size_t>::max();

  /// Makes the answer to the pending call; it is on its way until Answer().
  void MakeAnswer(milliseconds clock) {
    if (make_answer_ != nullptr) {
      answer_ = std::exchange(make_answer_, nullptr)(clock);
    }
  }
  /// Answers the pending call, if there is one.
  void Answer(milliseconds clock) {
    MakeAnswer(clock);
    if (answer_.has_value()) {
      const store_response answer = *std::exchange(answer_, std::nullopt);
      std::exchange(done_, nullptr)(answer);
    }
  }

 private:
  const table_model& table_;
  std::function<store_response(milliseconds)> make_answer_;
  std::optional<store_response> answer_;
  store_done_fn done_;
};

/// A table_follower, the rows that it has reported and what it passes on.
class following_node {
 public:
  following_node(const table_model& table, const time_point& now,
                 std::function<void(const std::string&)> send)
      : now_(now),
        store_(table),
        follower_(loop_, store_, "t", WithoutDelays(), Events(std::move(send)),
                  [this] { return now_; }) {
    follower_.Start();
  }

  /// Answers the pending call and lets the next one begin.
  void AnswerStore() {
    store_.Answer(
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()));
    Continue();
  }
  /// Answers the pending call; the next one begins with Continue().
  void AnswerStoreOnly() {
    store_.Answer(
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()));
  }
  /// The store answers the pending call; the answer is on its way until
  /// AnswerStoreOnly().
  void LetStoreAnswer() {
    store_.MakeAnswer(
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()));
  }
  void Continue() { loop_.RunFor(std::chrono::microseconds(1)); }
  void Receive(const std::string& datagram) {
    const std::optional<table_changes> changes = DecodeChanges(datagram);
    if (changes.has_value()) {
      follower_.OnPeerChanges(*changes);
    }
  }

  /// Changes in one answer of the store at most.
  void SetMaxPageRows(size_t rows) { store_.max_page_rows = rows; }

  [[nodiscard]] table_follower& follower() { return follower_; }
  [[nodiscard]] const table_rows& rows() const { return rows_; }
  /// Rows that a read of the table has shown to be missed.
  [[nodiscard]] const std::vector<std::string>& missed() const {
    return missed_;
  }
  [[nodiscard]] int gaps() const { return gaps_; }

  /// Called with each change that is applied; may be empty.
  std::function<void(const stored_row&)> on_applied;

 private:
  static table_follower_parameters WithoutDelays() {
    table_follower_parameters parameters;
    parameters.change_delay = milliseconds(0);
    parameters.peer_changes_delay = milliseconds(0);
    parameters.initial_backoff = milliseconds(0);
    parameters.max_backoff = milliseconds(0);
    parameters.max_backoff_without_watch = milliseconds(0);
    return parameters;
  }
  table_follower_callbacks Events(
      std::function<void(const std::string&)> send) {
    return {[this](const std::vector<stored_row>& rows, time_point /*now*/) {
              rows_.clear();
              for (const stored_row& row : rows) {
                rows_[row.key] = row;
              }
            },
            [this](const stored_row& row, time_point /*now*/) {
              if (on_applied != nullptr) {
                on_applied(row);
              }
              if (row.removed) {
                rows_.erase(row.key);
              } else {
                rows_[row.key] = row;
              }
            },
            [](bool /*reachable*/, store_outcome /*why*/, time_point) {},
            [send = std::move(send)](const table_changes& changes) {
              for (const std::string& datagram : EncodeChanges(changes)) {
                send(datagram);
              }
            },
            [this](const store_position&, const table_changes&) { ++gaps_; },
            {},
            [this](const stored_row& row, int64_t /*known_version*/) {
              missed_.push_back(row.key);
            }};
  }

  event_loop loop_;
  const time_point& now_;
  held_row_store store_;
  table_rows rows_;
  std::vector<std::string> missed_;
  int gaps_ = 0;
  table_follower follower_;
};

/// Keys whose last change is not later than `place` and which `rows` lacks or
/// has otherwise.
inline std::vector<std::string> SkippedKeys(const table_model& table,
                                            const store_position& place,
                                            const table_rows& rows) {
  std::vector<std::string> skipped;
  for (const stored_row& row : table.LastChanges(place.era)) {
    if (row.version > place.version) {
      continue;
    }
    const auto known = rows.find(row.key);
    const bool has_it = row.removed
                            ? known == rows.end()
                            : known != rows.end() && known->second == row;
    if (!has_it) {
      skipped.push_back(row.key);
    }
  }
  return skipped;
}

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_STORE_TABLE_MODEL_H_

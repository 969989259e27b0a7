#ifndef TESTS_CONTROL_MEMORY_TABLE_SERVICE_H_
#define TESTS_CONTROL_MEMORY_TABLE_SERVICE_H_

#include <map>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

/// An in-memory table service that can be unavailable, or apply writes and lose
/// the responses.
class memory_table_service : public table_service {
 public:
  explicit memory_table_service(event_loop& loop) : loop_(loop) {}

  void Get(const row_key& key, read_done_fn done) override {
    read_result result;
    const auto found = rows.find(key);
    if (!unavailable) {
      result.outcome =
          found == rows.end() ? read_outcome::kMissing : read_outcome::kFound;
      result.row = found == rows.end() ? table_row{} : found->second;
    }
    loop_.Defer([result, done = std::move(done)] { done(result); });
  }

  void Query(const row_query& query, query_done_fn done) override {
    query_result result;
    result.available = !unavailable;
    for (const auto& [key, row] : rows) {
      const bool matches = key.partition == query.partition &&
                           key.sort.starts_with(query.sort_prefix) &&
                           key.sort > query.after;
      if (matches && !unavailable && result.rows.size() < query.limit) {
        result.rows.push_back(row);
      }
    }
    loop_.Defer([result, done = std::move(done)] { done(result); });
  }

  void Write(const std::vector<row_write>& writes, const std::string& /*token*/,
             write_done_fn done) override {
    write_result result;
    result.outcome = write_outcome::kRejected;
    if (!unavailable) {
      result = Apply(writes);
    }
    if (lose_responses) {
      result = {write_outcome::kUnknown, {}};
    }
    loop_.Defer([result, done = std::move(done)] { done(result); });
  }

  std::map<row_key, table_row> rows;
  bool unavailable = false;
  bool lose_responses = false;

 private:
  write_result Apply(const std::vector<row_write>& writes) {
    write_result result{write_outcome::kCommitted, {}};
    for (size_t index = 0; index < writes.size(); ++index) {
      const auto found = rows.find(writes[index].row.key);
      const int64_t stored = found == rows.end() ? 0 : found->second.version;
      if (writes[index].expected_version.value_or(stored) != stored) {
        result.outcome = write_outcome::kConflict;
        result.conflicts.push_back(index);
      }
    }
    if (result.outcome == write_outcome::kConflict) {
      return result;
    }
    for (const row_write& write : writes) {
      rows[write.row.key] = write.row;
    }
    return result;
  }

  event_loop& loop_;
};

}  // namespace skylarkcroft

#endif  // TESTS_CONTROL_MEMORY_TABLE_SERVICE_H_

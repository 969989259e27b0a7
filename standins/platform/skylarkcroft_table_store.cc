#include "standins/platform/skylarkcroft_table_store.h"

#include <algorithm>
#include <set>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft::standin {
namespace {

constexpr std::chrono::minutes kTokenLifetime{10};
constexpr size_t kMaxPageBytes = 1024 * 1024;

void Validate(const std::vector<row_write>& writes) {
  const std::string path = "$.TransactItems";
  if (writes.empty() || writes.size() > kMaxTransactionWrites) {
    throw config_error(
        path, std::to_string(writes.size()) + " writes",
        "send from 1 to " + std::to_string(kMaxTransactionWrites));
  }
  std::set<row_key> seen;
  for (const row_write& write : writes) {
    if (!seen.insert(write.row.key).second) {
      throw config_error(path, "two writes of one row",
                         "write each row once in a transaction");
    }
    if (write.what == row_write::kind::kCheck &&
        !write.expected_version.has_value()) {
      throw config_error(path, "a check without a condition",
                         "add a ConditionExpression");
    }
  }
}

}  // namespace

std::optional<table_row> table_store::Get(const row_key& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? std::nullopt : std::optional(found->second);
}

row_page table_store::Query(const row_range& range) const {
  row_page page;
  size_t bytes = 0;
  const std::string start = std::max({range.prefix, range.after, range.first});
  for (auto at = rows_.lower_bound({range.partition, start}); at != rows_.end();
       ++at) {
    const table_row& row = at->second;
    if (row.key.partition != range.partition ||
        !row.key.sort.starts_with(range.prefix) ||
        (!range.last.empty() && row.key.sort > range.last)) {
      break;
    }
    if (!range.after.empty() && row.key.sort <= range.after) {
      continue;
    }
    if (page.rows.size() == range.limit || bytes >= kMaxPageBytes) {
      page.more = true;
      break;
    }
    bytes += row.document.size();
    page.rows.push_back(row);
  }
  return page;
}

write_result table_store::Transact(const std::vector<row_write>& writes,
                                   const std::string& token, time_point now) {
  Validate(writes);
  ForgetExpired(now);
  const auto found = tokens_.find(token);
  if (found == tokens_.end()) {
    write_result result = Apply(writes);
    if (!token.empty()) {
      tokens_[token] = {writes, result};
      expiries_.push_back({now + kTokenLifetime, token});
    }
    return result;
  }
  if (found->second.writes != writes) {
    throw config_error("$.ClientRequestToken",
                       "was used for another transaction",
                       "use a new token for each transaction");
  }
  return found->second.result;
}

void table_store::ForgetExpired(time_point now) {
  while (!expiries_.empty() && expiries_.front().at <= now) {
    tokens_.erase(expiries_.front().token);
    expiries_.pop_front();
  }
}

bool table_store::Holds(const row_write& write) const {
  if (!write.expected_version.has_value()) {
    return true;
  }
  const auto found = rows_.find(write.row.key);
  if (*write.expected_version == 0) {
    return found == rows_.end();
  }
  return found != rows_.end() &&
         found->second.version == *write.expected_version;
}

write_result table_store::Apply(const std::vector<row_write>& writes) {
  write_result result{write_outcome::kCommitted, {}};
  for (size_t index = 0; index < writes.size(); ++index) {
    if (!Holds(writes[index])) {
      result.outcome = write_outcome::kConflict;
      result.conflicts.push_back(index);
    }
  }
  if (result.outcome == write_outcome::kConflict) {
    return result;
  }
  for (const row_write& write : writes) {
    switch (write.what) {
      case row_write::kind::kPut:
        rows_[write.row.key] = write.row;
        break;
      case row_write::kind::kDelete:
        rows_.erase(write.row.key);
        break;
      case row_write::kind::kCheck:
        break;
    }
  }
  return result;
}

}  // namespace skylarkcroft::standin

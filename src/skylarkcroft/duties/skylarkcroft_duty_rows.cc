#include "skylarkcroft/duties/skylarkcroft_duty_rows.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr const char* kLeaseRow = "lease";
constexpr const char* kUsageRow = "usage";
constexpr size_t kMaxJournalReports = 4;
// The era of a store that has not come back from an older copy yet, if it
// states one.
constexpr int64_t kFirstEra = 1;
// The fencing tokens of an era start above its number times this, so that no
// token that was lost with a restore is issued again.
constexpr int64_t kFencesPerEra = 1000000;

std::string KeyInEra(const char* name, int64_t era) {
  return era <= kFirstEra ? name : name + ("-" + std::to_string(era));
}

row_outcome OutcomeOf(store_outcome outcome) {
  switch (outcome) {
    case store_outcome::kDone:
      return row_outcome::kCommitted;
    case store_outcome::kConflict:
      return row_outcome::kConflict;
    case store_outcome::kHistoryGone:
    case store_outcome::kRefused:
      return row_outcome::kRejected;
    case store_outcome::kUnknown:
      return row_outcome::kUnknown;
  }
  return row_outcome::kUnknown;
}

const stored_row* FindRow(const std::vector<stored_row>& rows,
                          std::string_view key) {
  const auto found =
      std::find_if(rows.begin(), rows.end(),
                   [&](const stored_row& row) { return row.key == key; });
  return found == rows.end() ? nullptr : &*found;
}

}  // namespace

duty_rows::duty_rows(
    const lease_member& self, const lease_parameters& parameters,
    std::function<void(std::string_view, const std::string&)> on_event)
    : lease_(kDutiesTable, self, parameters), on_event_(std::move(on_event)) {}

void duty_rows::OnEra(int64_t era, int64_t newest_settled_window,
                      time_point now) {
  if (era <= era_) {
    return;
  }
  era_ = era;
  if (era <= kFirstEra) {
    return;
  }
  // Only the holder knows each report that was sent.
  if (!lease_.MayAct(now)) {
    first_open_window_ = newest_settled_window + 1;
  }
  lease_.OnStoreRestored(era * kFencesPerEra, now);
  journal_stored_ = false;
  on_event_("store restored", "era " + std::to_string(era));
}

duty_write duty_rows::BeginWrite(lease_step step,
                                 std::optional<usage_journal> journal,
                                 time_point now) {
  const row_write write = lease_.BeginWrite(step, now);
  duty_write next{step, {}, std::move(journal), era_};
  if (!next.journal.has_value() && !journal_stored_) {
    next.journal = journal_;
  }
  const std::string lease_key = KeyInEra(kLeaseRow, era_);
  row_transaction& transaction = next.transaction;
  transaction.conditions.push_back(
      {kDutiesTable, lease_key, write.expected_version.value_or(0)});
  transaction.changes.push_back({kDutiesTable, lease_key, write.row.document});
  if (next.journal.has_value()) {
    transaction.changes.push_back({kDutiesTable, KeyInEra(kUsageRow, era_),
                                   EncodeJournal(*next.journal)});
  }
  for (const std::string& key : outdated_keys_) {
    transaction.changes.push_back({kDutiesTable, key, std::nullopt});
  }
  return next;
}

row_condition duty_rows::LeaseCondition() const {
  return {kDutiesTable, KeyInEra(kLeaseRow, era_), lease_.view().version};
}

bool duty_rows::OnWritten(const duty_write& write,
                          const store_response& response,
                          int64_t newest_settled_window, time_point now) {
  OnEra(response.era, newest_settled_window, now);
  if (write.era != era_) {
    // A write to the rows of an earlier era, which no longer count.
    return true;
  }
  const bool must_read_back = lease_.EndWrite(OutcomeOf(response.outcome), now);
  if (response.outcome != store_outcome::kDone) {
    return must_read_back || response.outcome == store_outcome::kConflict;
  }
  outdated_keys_.clear();
  if (write.journal.has_value()) {
    journal_ = *write.journal;
    journal_stored_ = true;
  }
  // The store assigns the version of the written row, so it is known only from
  // this response.
  if (write.step != lease_step::kRelease) {
    lease_.OnRowRead({read_outcome::kFound,
                      {LeaseKey(kDutiesTable), response.version,
                       EncodeLease(lease_.view().record)}},
                     now);
  }
  return must_read_back;
}

void duty_rows::OnRead(const store_response& response,
                       int64_t newest_settled_window, time_point now) {
  if (response.outcome != store_outcome::kDone) {
    lease_.OnRowRead({read_outcome::kUnavailable, {}}, now);
    return;
  }
  OnEra(response.era, newest_settled_window, now);
  if (response.era != era_) {
    return;
  }
  OnJournalRows(response.rows);
  const std::string lease_key = KeyInEra(kLeaseRow, era_);
  outdated_keys_.clear();
  for (const stored_row& row : response.rows) {
    if (row.key != lease_key && row.key != KeyInEra(kUsageRow, era_)) {
      outdated_keys_.push_back(row.key);
    }
  }
  const stored_row* lease = FindRow(response.rows, lease_key);
  if (lease == nullptr) {
    lease_.OnRowRead({read_outcome::kMissing, {}}, now);
    return;
  }
  lease_.OnRowRead({read_outcome::kFound,
                    {LeaseKey(kDutiesTable), lease->version, lease->value}},
                   now);
}

void duty_rows::OnJournalRows(const std::vector<stored_row>& rows) {
  const stored_row* present = FindRow(rows, KeyInEra(kUsageRow, era_));
  if (present != nullptr) {
    const std::optional<usage_journal> journal = ReadJournal(*present);
    if (journal.has_value()) {
      journal_ = *journal;
      journal_stored_ = true;
    }
    return;
  }
  for (const stored_row& row : rows) {
    if (!row.key.starts_with(kUsageRow)) {
      continue;
    }
    const std::optional<usage_journal> journal = ReadJournal(row);
    if (journal.has_value()) {
      journal_ = journal->MergedWith(journal_, kMaxJournalReports);
    }
  }
}

std::optional<usage_journal> duty_rows::ReadJournal(
    const stored_row& row) const {
  std::optional<usage_journal> journal = DecodeJournal(row.value);
  if (!journal.has_value()) {
    on_event_("usage journal unreadable", row.value);
  }
  return journal;
}

}  // namespace skylarkcroft

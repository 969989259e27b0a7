#include "skylarkcroft/tables/skylarkcroft_table_loader.h"

#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/tables/skylarkcroft_active_tables.h"
#include "skylarkcroft/tables/skylarkcroft_table_rows.h"

namespace skylarkcroft {

table_loader::table_loader(table_service& store, active_tables& tables,
                           clock_fn clock, invalid_fn on_invalid)
    : store_(store),
      tables_(tables),
      clock_(std::move(clock)),
      on_invalid_(std::move(on_invalid)) {}

void table_loader::Poll() {
  if (polling_) {
    return;
  }
  polling_ = true;
  queried_at_ = clock_();
  const std::weak_ptr<bool> alive = store_reachable_;
  store_.Get(RevisionKey(), [this, alive](const read_result& result) {
    if (!alive.expired()) {
      OnRevisionRead(result);
    }
  });
}

void table_loader::OnRevisionRead(const read_result& result) {
  *store_reachable_ = result.outcome != read_outcome::kUnavailable;
  const std::optional<int64_t> revision = result.outcome == read_outcome::kFound
                                              ? DecodeRevision(result.row)
                                              : std::nullopt;
  if (!revision || *revision <= tables_.current()->revision) {
    if (revision) {
      tables_.RecordNewestRevision(*revision, queried_at_);
    }
    polling_ = false;
    return;
  }
  tables_.RecordKnownRevision(*revision);
  LoadTables();
}

void table_loader::LoadTables() {
  queried_at_ = clock_();
  const std::weak_ptr<bool> alive = store_reachable_;
  store_.Query({kTablesPartition, "", "", 1000},
               [this, alive](const query_result& result) {
                 if (!alive.expired()) {
                   OnTablesRead(result);
                 }
               });
}

void table_loader::OnTablesRead(const query_result& result) {
  polling_ = false;
  if (!result.available) {
    *store_reachable_ = false;
    return;
  }
  const std::optional<table_documents> documents = DecodeTables(result.rows);
  if (!documents) {
    // A commit changed the tables during the read. Retry once at once; if the
    // retry sees the same, leave it to the next poll.
    torn_read_retried_ = !torn_read_retried_;
    if (torn_read_retried_) {
      Poll();
    }
    return;
  }
  torn_read_retried_ = false;
  try {
    tables_.Adopt(MakeTableSet(*documents), queried_at_);
  } catch (const config_error& invalid) {
    on_invalid_(invalid.what());
  }
}

}  // namespace skylarkcroft

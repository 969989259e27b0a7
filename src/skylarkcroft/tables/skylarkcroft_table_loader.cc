#include "skylarkcroft/tables/skylarkcroft_table_loader.h"

#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/tables/skylarkcroft_table_rows.h"
#include "skylarkcroft/tables/skylarkcroft_tables_in_force.h"

namespace skylarkcroft {

table_loader::table_loader(table_service& store, tables_in_force& tables,
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
  asked_at_ = clock_();
  const std::weak_ptr<bool> alive = store_reachable_;
  store_.Get(RevisionKey(), [this, alive](const read_result& result) {
    if (!alive.expired()) {
      OnRevision(result);
    }
  });
}

void table_loader::OnRevision(const read_result& result) {
  *store_reachable_ = result.outcome != read_outcome::kUnavailable;
  const std::optional<int64_t> revision = result.outcome == read_outcome::kFound
                                              ? DecodeRevision(result.row)
                                              : std::nullopt;
  if (!revision || *revision <= tables_.current()->revision) {
    if (revision) {
      tables_.NoteLatest(*revision, asked_at_);
    }
    polling_ = false;
    return;
  }
  tables_.NoteExists(*revision);
  LoadTables();
}

void table_loader::LoadTables() {
  asked_at_ = clock_();
  const std::weak_ptr<bool> alive = store_reachable_;
  store_.Query({kTablesPartition, "", "", 1000},
               [this, alive](const query_result& result) {
                 if (!alive.expired()) {
                   OnTables(result);
                 }
               });
}

void table_loader::OnTables(const query_result& result) {
  polling_ = false;
  if (!result.available) {
    *store_reachable_ = false;
    return;
  }
  const std::optional<table_documents> documents = DecodeTables(result.rows);
  if (!documents) {
    // A commit came between the rows; once more, then at the next poll.
    torn_ = !torn_;
    if (torn_) {
      Poll();
    }
    return;
  }
  torn_ = false;
  try {
    tables_.Adopt(MakeTableSet(*documents), asked_at_);
  } catch (const config_error& invalid) {
    on_invalid_(invalid.what());
  }
}

}  // namespace skylarkcroft

#include "skylarkcroft/tables/skylarkcroft_table_editor.h"

#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/tables/skylarkcroft_active_tables.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kCommitTimeout{10000};
constexpr milliseconds kCommitRetryDelay{200};

table_documents WithEdit(table_documents documents, const table_edit& edit) {
  documents.revision = edit.revision;
  if (edit.table == table_kind::kRoutes) {
    documents.routes = edit.document;
    documents.routes_revision = edit.revision;
  } else {
    documents.pools = edit.document;
    documents.pools_revision = edit.revision;
  }
  return documents;
}

edit_result Conflict(int64_t newest) {
  edit_result result;
  result.outcome = edit_outcome::kConflict;
  result.revision = newest;
  result.detail = "revision " + std::to_string(newest) +
                  " is in force; get the table, redo the edit on it and put "
                  "it again";
  return result;
}

}  // namespace

struct table_editor::job {
  edit_request request;
  edit_done_fn done;
  table_edit edit;
  table_set_ptr candidate;
  time_point retry_until{};
  time_point committed_at{};
  // True once a transaction of this edit may have been committed.
  bool may_be_committed = false;
  event_loop::handle_ptr timer;
};

table_editor::table_editor(event_loop& loop, table_service& store,
                           active_tables& tables, std::string node_name,
                           clock_fn clock, wall_clock_fn wall_clock)
    : loop_(loop),
      store_(store),
      tables_(tables),
      node_name_(std::move(node_name)),
      clock_(std::move(clock)),
      wall_clock_(std::move(wall_clock)) {}

table_editor::~table_editor() = default;

template <typename result_type>
std::function<void(const result_type&)> table_editor::IfAlive(
    void (table_editor::*step)(const result_type&)) {
  const std::weak_ptr<bool> alive = alive_;
  return [this, alive, step](const result_type& result) {
    if (!alive.expired()) {
      (this->*step)(result);
    }
  };
}

void table_editor::Edit(edit_request request, edit_done_fn done) {
  auto new_job = std::make_unique<job>();
  new_job->request = std::move(request);
  new_job->done = std::move(done);
  jobs_.push_back(std::move(new_job));
  if (jobs_.size() == 1) {
    StartNext();
  }
}

void table_editor::StartNext() {
  if (jobs_.empty()) {
    return;
  }
  store_.Query({kTablesPartition, "", "", 1000},
               IfAlive(&table_editor::OnTablesRead));
}

void table_editor::OnTablesRead(const query_result& result) {
  const std::optional<table_documents> documents =
      result.available ? DecodeTables(result.rows) : std::nullopt;
  if (!documents) {
    edit_result rejected;
    rejected.outcome = edit_outcome::kRejected;
    rejected.detail = "the table service cannot be read; try again later";
    Finish(rejected);
    return;
  }
  job& current = *jobs_.front();
  const edit_request& request = current.request;
  if (request.base_revision && *request.base_revision != documents->revision) {
    Finish(Conflict(documents->revision));
    return;
  }
  current.edit = {documents->revision + 1, request.table, request.edit_id,
                  wall_clock_(),           node_name_,    request.document};
  try {
    current.candidate = MakeTableSet(WithEdit(*documents, current.edit));
  } catch (const config_error& invalid) {
    edit_result invalid_result;
    invalid_result.outcome = edit_outcome::kInvalid;
    invalid_result.revision = documents->revision;
    invalid_result.detail = invalid.what();
    invalid_result.path = invalid.path();
    invalid_result.reason = invalid.reason();
    invalid_result.remedy = invalid.remedy();
    Finish(invalid_result);
    return;
  }
  current.retry_until = clock_() + kCommitTimeout;
  Commit();
}

void table_editor::Commit() {
  job& current = *jobs_.front();
  current.committed_at = clock_();
  store_.Write(MakeEditWrites(current.edit),
               "edit-" + current.edit.edit_id + "-" +
                   std::to_string(current.edit.revision),
               IfAlive(&table_editor::OnWritten));
}

void table_editor::OnWritten(const write_result& result) {
  job& current = *jobs_.front();
  switch (result.outcome) {
    case write_outcome::kCommitted: {
      tables_.Adopt(current.candidate, current.committed_at);
      edit_result accepted;
      accepted.outcome = edit_outcome::kAccepted;
      accepted.revision = current.edit.revision;
      Finish(accepted);
      return;
    }
    case write_outcome::kConflict:
      // An earlier attempt of the same edit may have caused the conflict.
      ReadBack();
      return;
    case write_outcome::kRejected:
      RetryOrFail();
      return;
    case write_outcome::kUnknown:
      current.may_be_committed = true;
      RetryOrFail();
      return;
  }
}

void table_editor::ReadBack() {
  store_.Get(EditKey(jobs_.front()->edit.revision),
             IfAlive(&table_editor::OnReadBack));
}

void table_editor::OnReadBack(const read_result& result) {
  job& current = *jobs_.front();
  if (result.outcome != read_outcome::kFound) {
    current.may_be_committed = true;
    RetryOrFail();
    return;
  }
  const std::optional<table_edit> stored = DecodeEdit(result.row);
  if (stored && stored->edit_id == current.edit.edit_id) {
    OnWritten({write_outcome::kCommitted, {}});
    return;
  }
  Finish(Conflict(current.edit.revision));
}

void table_editor::RetryOrFail() {
  job& current = *jobs_.front();
  if (clock_() < current.retry_until) {
    current.timer = loop_.After(kCommitRetryDelay, [this] { Commit(); });
    return;
  }
  edit_result result;
  result.revision = current.edit.revision;
  if (current.may_be_committed) {
    result.outcome = edit_outcome::kUnknown;
    result.detail =
        "the table service gave no answer; look for the edit id in the "
        "history before putting it again";
  } else {
    result.outcome = edit_outcome::kRejected;
    result.detail = "the table service refused the write; try again later";
  }
  Finish(result);
}

void table_editor::Finish(const edit_result& result) {
  const std::unique_ptr<job> finished = std::move(jobs_.front());
  jobs_.pop_front();
  finished->done(result);
  StartNext();
}

}  // namespace skylarkcroft

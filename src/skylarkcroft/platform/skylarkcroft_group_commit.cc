#include "skylarkcroft/platform/skylarkcroft_group_commit.h"

#include <algorithm>
#include <set>
#include <utility>

namespace skylarkcroft {

group_commit::group_commit(event_loop& loop, table_service& store,
                           std::string token_prefix,
                           const group_commit_options& options, clock_fn clock)
    : loop_(loop),
      store_(store),
      token_prefix_(std::move(token_prefix)),
      options_(options),
      clock_(std::move(clock)) {}

group_commit::~group_commit() = default;

std::string group_commit::NextToken() {
  return token_prefix_ + "-" + std::to_string(next_token_++);
}

void group_commit::Write(row_write row, row_done_fn done) {
  waiting_.push_back({std::move(row), std::move(done)});
  if (waiting_.size() >= options_.max_rows) {
    Flush();
    return;
  }
  if (window_timer_ == nullptr) {
    window_timer_ = loop_.After(options_.window, [this] { Flush(); });
  }
}

// A transaction may name each key only once, so further rows of a key wait for
// the next one.
std::vector<group_commit::pending_row> group_commit::TakeRows() {
  std::set<row_key> keys;
  std::vector<pending_row> taken;
  std::vector<pending_row> left;
  for (pending_row& pending : waiting_) {
    const bool fits = taken.size() < options_.max_rows &&
                      keys.insert(pending.row.row.key).second;
    (fits ? taken : left).push_back(std::move(pending));
  }
  waiting_ = std::move(left);
  return taken;
}

void group_commit::Flush() {
  window_timer_.reset();
  while (!waiting_.empty() &&
         in_flight_ < options_.max_transactions_in_flight) {
    auto next = std::make_shared<batch>();
    next->rows = TakeRows();
    next->token = NextToken();
    next->resolve_until = clock_() + options_.resolve_limit;
    ++in_flight_;
    Send(next);
  }
}

void group_commit::Send(const batch_ptr& sending) {
  ++transactions_;
  std::vector<row_write> writes;
  writes.reserve(sending->rows.size());
  for (const pending_row& pending : sending->rows) {
    writes.push_back(pending.row);
  }
  const std::weak_ptr<bool> alive = alive_;
  store_.Write(writes, sending->token,
               [this, alive, sending](const write_result& result) {
                 if (!alive.expired()) {
                   OnResult(sending, result);
                 }
               });
}

void group_commit::OnResult(const batch_ptr& sent, const write_result& result) {
  switch (result.outcome) {
    case write_outcome::kCommitted:
      EndAll(sent, row_outcome::kCommitted);
      return;
    case write_outcome::kConflict:
      OnConflict(sent, result.conflicts);
      return;
    case write_outcome::kUnknown:
      sent->answer_lost = true;
      Repeat(sent);
      return;
    case write_outcome::kRejected:
      Repeat(sent);
      return;
  }
}

void group_commit::OnConflict(const batch_ptr& sent,
                              const std::vector<size_t>& conflicts) {
  std::vector<pending_row> refused;
  std::vector<pending_row> others;
  for (size_t index = 0; index < sent->rows.size(); ++index) {
    const bool conflicted =
        conflicts.empty() ||
        std::find(conflicts.begin(), conflicts.end(), index) != conflicts.end();
    (conflicted ? refused : others).push_back(std::move(sent->rows[index]));
  }
  if (others.empty()) {
    sent->rows = std::move(refused);
    EndAll(sent, row_outcome::kConflict);
    return;
  }
  // Nothing of the transaction took effect; the other rows go again without the
  // refused ones, under a token of their own.
  sent->rows = std::move(others);
  sent->token = NextToken();
  Send(sent);
  for (const pending_row& pending : refused) {
    pending.done(row_outcome::kConflict);
  }
}

void group_commit::Repeat(const batch_ptr& sent) {
  if (clock_() >= sent->resolve_until) {
    EndAll(sent,
           sent->answer_lost ? row_outcome::kUnknown : row_outcome::kRejected);
    return;
  }
  // The timer must not keep what holds it.
  sent->timer = loop_.After(options_.resolve_delay,
                            [this, weak = std::weak_ptr<batch>(sent)] {
                              if (const auto again = weak.lock()) {
                                std::erase(repeating_, again);
                                Send(again);
                              }
                            });
  repeating_.push_back(sent);
}

void group_commit::EndAll(const batch_ptr& ended, row_outcome outcome) {
  --in_flight_;
  const std::vector<pending_row> rows = std::move(ended->rows);
  for (const pending_row& pending : rows) {
    pending.done(outcome);
  }
  if (!waiting_.empty()) {
    Flush();
  }
}

}  // namespace skylarkcroft

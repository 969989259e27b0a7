#include "skylarkcroft/claims/skylarkcroft_claim_store.h"

#include <algorithm>
#include <utility>

#include "skylarkcroft/claims/skylarkcroft_claim_decision.h"

namespace skylarkcroft {
namespace {

constexpr int64_t kUnsentClaimLifetimeMs = 5000;
constexpr milliseconds kClaimPollPeriod{200};
constexpr milliseconds kStoreRetryDelay{500};
constexpr std::chrono::minutes kStoreRetryLimit{10};

row_write PutClaim(const row_key& key, int64_t expected_version,
                   const claim_record& record) {
  row_write write;
  write.row = {key, expected_version + 1, EncodeClaim(record)};
  write.expected_version = expected_version;
  return write;
}

held_claim WithNextVersion(const held_claim& held, const claim_record& record) {
  return {held.key, held.version + 1, record};
}

}  // namespace

struct claim_store::pending_claim {
  claim_request query;
  row_key key;
  claim_record record;
  claim_done_fn done;
  event_loop::handle_ptr timer;
};

claim_store::claim_store(event_loop& loop, table_service& store,
                         group_commit& commits, clock_fn clock,
                         wall_clock_fn wall_clock)
    : loop_(loop),
      store_(store),
      commits_(commits),
      clock_(std::move(clock)),
      wall_clock_(std::move(wall_clock)) {}

claim_store::~claim_store() = default;

std::function<bool()> claim_store::Alive() const {
  const std::weak_ptr<bool> alive = alive_;
  return [alive] { return !alive.expired(); };
}

void claim_store::Claim(const claim_request& query, claim_done_fn done) {
  auto current = std::make_shared<pending_claim>();
  current->query = query;
  current->key = ClaimKey(query.caller_name, query.idempotency_key);
  current->done = std::move(done);
  const int64_t now_ms = wall_clock_();
  current->record.request_id = query.request_id;
  current->record.fingerprint = query.fingerprint;
  current->record.expires_at_ms = now_ms + kUnsentClaimLifetimeMs;
  current->record.deadline_ms = now_ms + ElapsedMs(clock_(), query.deadline);
  TryCreate(current);
}

void claim_store::TryCreate(const pending_claim_ptr& current) {
  commits_.Write(
      PutClaim(current->key, 0, current->record),
      [this, current, alive = Alive()](row_outcome outcome) {
        if (!alive()) {
          return;
        }
        if (outcome == row_outcome::kCommitted) {
          Finish(current, {claim_outcome::kHeld,
                           held_claim{current->key, 1, current->record},
                           {}});
          return;
        }
        if (outcome == row_outcome::kRejected) {
          Finish(current, {claim_outcome::kStoreUnavailable, {}, {}});
          return;
        }
        ReadStored(current);
      });
}

void claim_store::ReadStored(const pending_claim_ptr& current) {
  store_.Get(current->key,
             [this, current, alive = Alive()](const read_result& result) {
               if (alive()) {
                 OnClaimRead(current, result);
               }
             });
}

void claim_store::OnClaimRead(const pending_claim_ptr& current,
                              const read_result& result) {
  if (result.outcome == read_outcome::kUnavailable) {
    Finish(current, {claim_outcome::kStoreUnavailable, {}, {}});
    return;
  }
  if (result.outcome == read_outcome::kMissing) {
    // The row was removed, or the write that created it had no effect.
    if (clock_() >= current->query.deadline) {
      Finish(current, {claim_outcome::kBusy, {}, {}});
      return;
    }
    TryCreate(current);
    return;
  }
  const std::optional<claim_record> stored = DecodeClaim(result.row.document);
  if (!stored) {
    Finish(current, {claim_outcome::kUnknown, {}, {}});
    return;
  }
  switch (DecideClaim(*stored, current->query.request_id,
                      current->query.fingerprint, wall_clock_())) {
    case claim_action::kAlreadyHeld:
      Finish(current, {claim_outcome::kHeld,
                       held_claim{current->key, result.row.version, *stored},
                       {}});
      return;
    case claim_action::kReplay:
      Finish(current, {stored->response ? claim_outcome::kReplay
                                        : claim_outcome::kRanWithoutResponse,
                       {},
                       stored->response});
      return;
    case claim_action::kWait:
      PollLater(current);
      return;
    case claim_action::kTakeOver:
      TakeOver(current, result.row, *stored);
      return;
    case claim_action::kKeyReused:
      Finish(current, {claim_outcome::kKeyReused, {}, {}});
      return;
    case claim_action::kUnknown:
      Finish(current, {claim_outcome::kUnknown, {}, {}, stored->upstream});
      return;
  }
}

void claim_store::TakeOver(const pending_claim_ptr& current,
                           const table_row& stored,
                           const claim_record& record) {
  claim_record mine = current->record;
  mine.number = record.number + 1;
  mine.expires_at_ms = wall_clock_() + kUnsentClaimLifetimeMs;
  commits_.Write(
      PutClaim(current->key, stored.version, mine),
      [this, current, version = stored.version + 1, mine,
       alive = Alive()](row_outcome outcome) {
        if (!alive()) {
          return;
        }
        if (outcome == row_outcome::kCommitted) {
          Finish(current, {claim_outcome::kHeld,
                           held_claim{current->key, version, mine},
                           {}});
          return;
        }
        if (outcome == row_outcome::kRejected) {
          Finish(current, {claim_outcome::kStoreUnavailable, {}, {}});
          return;
        }
        ReadStored(current);
      });
}

void claim_store::PollLater(const pending_claim_ptr& current) {
  if (clock_() >= current->query.deadline) {
    Finish(current, {claim_outcome::kBusy, {}, {}});
    return;
  }
  // A weak pointer, since the object owns the timer.
  current->timer = loop_.After(
      kClaimPollPeriod, [this, weak = std::weak_ptr<pending_claim>(current)] {
        if (const auto retried = weak.lock()) {
          std::erase(waiting_claims_, retried);
          ReadStored(retried);
        }
      });
  waiting_claims_.push_back(current);
}

void claim_store::Finish(const pending_claim_ptr& current,
                         const claim_result& answer) {
  const claim_done_fn done = std::move(current->done);
  done(answer);
}

void claim_store::MarkSent(const held_claim& held, const std::string& upstream,
                           mark_done_fn done) {
  claim_record record = held.record;
  record.state = claim_state::kSent;
  record.upstream = upstream;
  const held_claim marked = WithNextVersion(held, record);
  commits_.Write(PutClaim(held.key, held.version, record),
                 [this, held, marked, done = std::move(done),
                  alive = Alive()](row_outcome outcome) {
                   if (!alive()) {
                     return;
                   }
                   if (outcome == row_outcome::kCommitted) {
                     done(mark_outcome::kMaySend, marked);
                     return;
                   }
                   if (outcome == row_outcome::kRejected) {
                     done(mark_outcome::kStoreUnavailable, held);
                     return;
                   }
                   ReadBackMark(marked, done);
                 });
}

void claim_store::ReadBackMark(const held_claim& marked,
                               const mark_done_fn& done) {
  store_.Get(marked.key, [marked, done,
                          alive = Alive()](const read_result& result) {
    if (!alive()) {
      return;
    }
    if (result.outcome != read_outcome::kFound) {
      done(result.outcome == read_outcome::kMissing
               ? mark_outcome::kLost
               : mark_outcome::kStoreUnavailable,
           marked);
      return;
    }
    const std::optional<claim_record> stored = DecodeClaim(result.row.document);
    const bool mine = stored && result.row.version == marked.version &&
                      stored->state == claim_state::kSent &&
                      stored->request_id == marked.record.request_id;
    if (mine) {
      done(mark_outcome::kMaySend, marked);
      return;
    }
    const bool unmarked = stored && stored->state == claim_state::kClaimed &&
                          stored->request_id == marked.record.request_id;
    done(unmarked ? mark_outcome::kStoreUnavailable : mark_outcome::kLost,
         marked);
  });
}

void claim_store::RecordDone(const held_claim& held,
                             const http_response& response,
                             std::function<void()> done) {
  claim_record record = held.record;
  record.state = claim_state::kDone;
  record.response = response;
  Store(held, record, std::move(done));
}

void claim_store::RecordUnknown(const held_claim& held,
                                std::function<void()> done) {
  claim_record record = held.record;
  record.state = claim_state::kUnknown;
  Store(held, record, std::move(done));
}

void claim_store::Release(const held_claim& held, std::function<void()> done) {
  claim_record record = held.record;
  record.state = claim_state::kReleased;
  Store(held, record, std::move(done));
}

struct claim_store::pending_write {
  held_claim held;
  claim_record record;
  time_point until{};
  // Called at most once: reset by CallDone.
  std::function<void()> done;
  event_loop::handle_ptr retry;
  event_loop::handle_ptr wait_limit;

  void CallDone() {
    const std::function<void()> call = std::exchange(done, nullptr);
    if (call) {
      call();
    }
  }
};

void claim_store::Store(const held_claim& held, const claim_record& record,
                        std::function<void()> done) {
  auto current = std::make_shared<pending_write>();
  current->held = held;
  current->record = record;
  current->until = clock_() + kStoreRetryLimit;
  current->done = std::move(done);
  current->wait_limit = loop_.After(
      kMaxRecordWait, [weak = std::weak_ptr<pending_write>(current)] {
        if (const auto waiting = weak.lock()) {
          waiting->CallDone();
        }
      });
  StoreUntilSettled(current);
}

void claim_store::StoreUntilSettled(
    const std::shared_ptr<pending_write>& current) {
  commits_.Write(
      PutClaim(current->held.key, current->held.version, current->record),
      [this, current, alive = Alive()](row_outcome outcome) {
        if (!alive()) {
          return;
        }
        if (outcome == row_outcome::kCommitted || clock_() >= current->until) {
          current->CallDone();
          return;
        }
        if (outcome == row_outcome::kConflict) {
          ReplaceOwnMark(current);
          return;
        }
        RetryStoreLater(current);
      });
}

void claim_store::ReplaceOwnMark(
    const std::shared_ptr<pending_write>& current) {
  store_.Get(current->held.key, [this, current,
                                 alive = Alive()](const read_result& result) {
    if (!alive()) {
      return;
    }
    if (result.outcome == read_outcome::kUnavailable) {
      RetryStoreLater(current);
      return;
    }
    const std::optional<claim_record> stored = DecodeClaim(result.row.document);
    // Replaces only this holder's own claim or mark, left by a MarkSent whose
    // response was lost. Any other row is this record itself, written by an
    // earlier retry, or another holder's claim.
    const bool own_mark = stored &&
                          stored->request_id == current->record.request_id &&
                          (stored->state == claim_state::kSent ||
                           stored->state == claim_state::kClaimed);
    if (!own_mark) {
      current->CallDone();
      return;
    }
    current->held.version = result.row.version;
    StoreUntilSettled(current);
  });
}

void claim_store::RetryStoreLater(
    const std::shared_ptr<pending_write>& current) {
  // A weak pointer, since the object owns the timer.
  current->retry = loop_.After(
      kStoreRetryDelay, [this, weak = std::weak_ptr<pending_write>(current)] {
        if (const auto retried = weak.lock()) {
          std::erase(pending_writes_, retried);
          StoreUntilSettled(retried);
        }
      });
  pending_writes_.push_back(current);
}

}  // namespace skylarkcroft

#include "skylarkcroft/store/skylarkcroft_table_follower.h"

#include <algorithm>
#include <random>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr int kMostDoublings = 4;

// Half to all of `pause`, so that nodes refused together do not come back
// together.
milliseconds Jittered(milliseconds pause) {
  static std::minstd_rand source{std::random_device{}()};
  std::uniform_int_distribution<milliseconds::rep> within(pause.count() / 2,
                                                          pause.count());
  return milliseconds(within(source));
}

}  // namespace

table_follower::table_follower(event_loop& loop, row_store& store,
                               std::string table, const follower_terms& terms,
                               follower_events events, clock_fn clock)
    : loop_(loop),
      store_(store),
      table_(std::move(table)),
      terms_(terms),
      events_(std::move(events)),
      clock_(std::move(clock)) {}

table_follower::~table_follower() = default;

void table_follower::Start() { Next(); }

duration table_follower::RestLeft(time_point now) const {
  if (watching_ || failures_ > 0 || !watch_from_.has_value() ||
      !current_as_of_.has_value()) {
    return duration(0);
  }
  if (peers_newest_ > *watch_from_) {
    return called_at_ + terms_.change_pause - now;
  }
  return *current_as_of_ + terms_.poll_age - now;
}

void table_follower::Rest(duration span) {
  resting_ = true;
  timer_ = loop_.After(span, [this] { Next(); });
}

void table_follower::Next() {
  const duration rest = RestLeft(clock_());
  if (rest > duration(0)) {
    Rest(rest);
    return;
  }
  resting_ = false;
  Call();
}

void table_follower::SetWatching(bool watching) {
  if (watching_ == watching) {
    return;
  }
  watching_ = watching;
  if (resting_) {
    Rest(duration(0));
  }
}

void table_follower::NotePeer(const table_position& peer) {
  if (!watch_from_.has_value()) {
    return;
  }
  if (peer.newest_change > *watch_from_) {
    const bool news = peer.newest_change > peers_newest_;
    peers_newest_ = std::max(peers_newest_, peer.newest_change);
    if (news && resting_) {
      Next();
    }
    return;
  }
  const time_point now = clock_();
  const std::optional<time_point> as_of =
      answer_time_.OnOwnClock(peer.store_clock, now);
  const bool later = as_of.has_value() && current_as_of_.has_value() &&
                     *as_of > *current_as_of_;
  if (later) {
    current_as_of_ = as_of;
    position_ = peer;
  }
}

void table_follower::Call() {
  const time_point sent_at = clock_();
  called_at_ = sent_at;
  const std::weak_ptr<bool> alive = alive_;
  if (!watch_from_.has_value()) {
    store_.Read(table_, [this, sent_at, alive](const store_view& view) {
      if (!alive.expired()) {
        OnRead(sent_at, view);
      }
    });
    return;
  }
  // After a failure a call that is answered at once tells sooner whether the
  // store is back.
  const bool waits = failures_ == 0 && watching_;
  store_.Watch(table_, *watch_from_,
               waits ? terms_.watch_wait : milliseconds(0),
               [this, sent_at, alive](const store_view& view) {
                 if (!alive.expired()) {
                   OnWatch(sent_at, view);
                 }
               });
}

void table_follower::OnRead(time_point sent_at, const store_view& view) {
  if (view.outcome != store_outcome::kDone) {
    OnFailure(view.outcome);
    return;
  }
  watch_from_ = view.version;
  version_ = view.version;
  // Removals leave no row to be read.
  OnAnswer(sent_at, view, view.version);
  events_.on_reset(view.rows, clock_());
  Next();
}

void table_follower::OnWatch(time_point sent_at, const store_view& view) {
  if (view.outcome == store_outcome::kHistoryGone) {
    watch_from_.reset();
    Next();
    return;
  }
  if (view.outcome != store_outcome::kDone) {
    OnFailure(view.outcome);
    return;
  }
  watch_from_ = std::max(*watch_from_, view.version);
  int64_t newest = position_.has_value() ? position_->newest_change : 0;
  for (const stored_row& row : view.rows) {
    newest = std::max(newest, row.version);
  }
  OnAnswer(sent_at, view, newest);
  version_ = *watch_from_;
  for (const stored_row& row : view.rows) {
    events_.on_change(row, clock_());
  }
  if (view.rows.empty()) {
    Next();
    return;
  }
  timer_ = loop_.After(terms_.change_pause, [this] { Next(); });
}

void table_follower::OnAnswer(time_point sent_at, const store_view& view,
                              int64_t newest_change) {
  const time_point as_of =
      answer_time_.EarliestAnswer(sent_at, view.answered_at, clock_());
  current_as_of_ = std::max(current_as_of_.value_or(as_of), as_of);
  if (view.answered_at.has_value()) {
    position_ = table_position{newest_change, *view.answered_at};
  }
  failures_ = 0;
  if (!reachable_) {
    reachable_ = true;
    events_.on_contact(true, store_outcome::kDone, clock_());
  }
}

void table_follower::OnFailure(store_outcome why) {
  const int doublings = std::min(failures_++, kMostDoublings);
  const milliseconds pause =
      std::min(terms_.longest_pause, terms_.first_pause * (1 << doublings));
  if (reachable_) {
    reachable_ = false;
    events_.on_contact(false, why, clock_());
  }
  timer_ = loop_.After(Jittered(pause), [this] { Next(); });
}

}  // namespace skylarkcroft

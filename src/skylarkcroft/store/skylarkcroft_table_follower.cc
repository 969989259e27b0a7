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

void table_follower::Next() {
  const time_point sent_at = clock_();
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
  const milliseconds wait = failures_ > 0 ? milliseconds(0) : terms_.watch_wait;
  store_.Watch(table_, *watch_from_, wait,
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
  OnAnswer(sent_at, view);
  watch_from_ = view.version;
  version_ = view.version;
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
  OnAnswer(sent_at, view);
  watch_from_ = std::max(*watch_from_, view.version);
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

void table_follower::OnAnswer(time_point sent_at, const store_view& view) {
  const time_point as_of =
      answer_time_.EarliestAnswer(sent_at, view.answered_at, clock_());
  current_as_of_ = std::max(current_as_of_.value_or(as_of), as_of);
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

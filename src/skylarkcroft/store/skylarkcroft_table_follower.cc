#include "skylarkcroft/store/skylarkcroft_table_follower.h"

#include <algorithm>
#include <random>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr int kMaxBackoffDoublings = 4;
// A table whose superseded rows take more than this in one response is read
// whole, with one version of each row.
constexpr size_t kMaxSupersededBytes = 256 * 1024;

milliseconds Between(milliseconds least, milliseconds most) {
  static std::minstd_rand source{std::random_device{}()};
  std::uniform_int_distribution<milliseconds::rep> within(least.count(),
                                                          most.count());
  return milliseconds(within(source));
}

// Returns a random delay between half of `backoff` and all of it, so that nodes
// whose calls failed together do not retry together.
milliseconds Jittered(milliseconds backoff) {
  return Between(backoff / 2, backoff);
}

// Returns 0 when there are no rows.
int64_t NewestVersion(const std::vector<stored_row>& rows) {
  int64_t newest = 0;
  for (const stored_row& row : rows) {
    newest = std::max(newest, row.version);
  }
  return newest;
}

// Bytes of the values that later rows of the same key replace.
size_t SupersededBytes(const std::vector<stored_row>& rows) {
  std::unordered_map<std::string_view, size_t> last_sizes;
  size_t bytes = 0;
  for (const stored_row& row : rows) {
    size_t& last = last_sizes[row.key];
    bytes += last;
    last = row.value.size();
  }
  return bytes;
}

milliseconds UpTo(milliseconds most) { return Between(milliseconds(0), most); }

}  // namespace

std::string_view ToString(store_call_reason reason) {
  switch (reason) {
    case store_call_reason::kWholeRead:
      return "whole_read";
    case store_call_reason::kWatch:
      return "watch";
    case store_call_reason::kPeerIsAhead:
      return "peer_is_ahead";
    case store_call_reason::kOutdated:
      return "outdated";
    case store_call_reason::kRetry:
      return "retry";
  }
  return "";
}

table_follower::table_follower(event_loop& loop, row_store& store,
                               std::string table,
                               const table_follower_parameters& parameters,
                               table_follower_callbacks events, clock_fn clock)
    : loop_(loop),
      store_(store),
      table_(std::move(table)),
      parameters_(parameters),
      events_(std::move(events)),
      clock_(std::move(clock)),
      audit_(parameters.min_audit_interval) {}

table_follower::~table_follower() = default;

void table_follower::Start() { CallWhenDue(); }

duration table_follower::TimeUntilNextCall(time_point now) const {
  if (watching_ || reading_on_ || !cursor_.place().has_value() ||
      !current_as_of_.has_value()) {
    return duration(0);
  }
  if (cursor_.NeedsWholeRead()) {
    return cursor_.LearnedEraFromPeer()
               ? peer_change_at_ + whole_read_delay_ - now
               : duration(0);
  }
  if (cursor_.IsBehindPeers()) {
    return std::max(last_call_at_ + parameters_.change_delay,
                    peer_change_at_ + parameters_.peer_changes_delay) -
           now;
  }
  return *current_as_of_ + parameters_.max_staleness - now;
}

void table_follower::ScheduleNextCall(duration delay) {
  waiting_for_poll_ = true;
  timer_ = loop_.After(delay, [this] { CallWhenDue(); });
}

void table_follower::CallWhenDue() {
  const duration time_left = TimeUntilNextCall(clock_());
  waiting_to_retry_ = false;
  if (time_left > duration(0)) {
    ScheduleNextCall(time_left);
    return;
  }
  waiting_for_poll_ = false;
  Call();
}

void table_follower::SetWatching(bool watching) {
  if (watching_ == watching) {
    return;
  }
  watching_ = watching;
  if (waiting_for_poll_) {
    ScheduleNextCall(duration(0));
  }
}

void table_follower::OnPeerReport(const table_position& peer) {
  if (!cursor_.place().has_value()) {
    return;
  }
  if (peer.newest_change > *cursor_.place()) {
    OnPeerAhead(peer.newest_change);
    return;
  }
  const bool same_era = peer.newest_change.era == cursor_.place()->era;
  if (!same_era || cursor_.NeedsWholeRead()) {
    return;
  }
  const time_point now = clock_();
  const std::optional<time_point> as_of =
      store_clock_.ToLocalTime(peer.store_clock, now);
  const bool later = as_of.has_value() && current_as_of_.has_value() &&
                     *as_of > *current_as_of_;
  if (later) {
    current_as_of_ = as_of;
    store_time_ = peer.store_clock;
  }
  AuditReplica(peer, now);
}

void table_follower::AuditReplica(const table_position& peer, time_point now) {
  const std::optional<table_position> own = position();
  if (!own.has_value() || !audit_.OnPeerReport(peer, *own, now)) {
    return;
  }
  cursor_.RequestWholeRead();
  if (events_.on_differing != nullptr) {
    events_.on_differing(*own);
  }
  if (waiting_for_poll_) {
    CallWhenDue();
  }
}

std::optional<table_position> table_follower::position() const {
  if (!store_time_.has_value()) {
    return std::nullopt;
  }
  table_position position{cursor_.newest_change(), *store_time_};
  if (position.newest_change.version >= digest_holds_from_) {
    position.digest = digest_.value();
  }
  return position;
}

std::optional<time_point> table_follower::ResponseTime(
    const table_position& peer, time_point now) const {
  return peer.newest_change.era == place().era
             ? store_clock_.ToLocalTime(peer.store_clock, now)
             : std::nullopt;
}

void table_follower::OnPeerAhead(const store_position& newest_change) {
  const bool was_behind = cursor_.IsBehindPeers();
  const bool knew_era = cursor_.NeedsWholeRead();
  const bool new_change = cursor_.OnPeerPosition(newest_change);
  const bool new_era = !knew_era && cursor_.LearnedEraFromPeer();
  // Later changes do not put off the call for an earlier one.
  if (!was_behind || new_era) {
    peer_change_at_ = clock_();
  }
  if (new_era) {
    whole_read_delay_ = UpTo(parameters_.max_whole_read_delay);
  }
  if (new_change && waiting_for_poll_) {
    CallWhenDue();
  } else if (!was_behind && waiting_to_retry_) {
    // The store is available to a peer.
    RetryAfter(parameters_.max_backoff);
  }
}

void table_follower::OnPeerChanges(const table_changes& changes) {
  if (!cursor_.place().has_value()) {
    return;
  }
  const store_position known = *cursor_.place();
  if (changes.era > known.era) {
    OnPeerAhead({changes.era, changes.up_to});
    return;
  }
  const replica_step step = cursor_.OnPeerChanges(
      {changes.era, changes.after}, changes.up_to, NewestVersion(changes.rows));
  if (step != replica_step::kApply) {
    const bool has_gap = changes.after > known.version &&
                         !cursor_.NeedsWholeRead() && gap_reported_at_ != known;
    if (has_gap && events_.on_gap != nullptr) {
      gap_reported_at_ = known;
      events_.on_gap(known, changes);
    }
    return;
  }
  const time_point now = clock_();
  previously_current_as_of_ = current_as_of_;
  const std::optional<time_point> as_of =
      changes.store_clock.has_value()
          ? store_clock_.ToLocalTime(*changes.store_clock, now)
          : std::nullopt;
  if (as_of.has_value() && current_as_of_.has_value() &&
      *as_of > *current_as_of_) {
    current_as_of_ = as_of;
    store_time_ = changes.store_clock;
  }
  Report(changes.rows, known, now);
}

void table_follower::ReportMissed(const std::vector<stored_row>& rows,
                                  const store_position& place) {
  if (events_.on_missed == nullptr) {
    return;
  }
  for (const stored_row& row : rows) {
    const int64_t known_version = digest_.VersionOf(row.key);
    if (row.version <= place.version && row.version != known_version) {
      events_.on_missed(row, known_version);
    }
  }
}

void table_follower::Report(const std::vector<stored_row>& rows,
                            const store_position& known, time_point now) {
  for (const stored_row& row : rows) {
    if (row.version > known.version) {
      digest_.Apply(row);
      events_.on_change(row, now);
    }
  }
}

store_call_reason table_follower::NextCallReason() const {
  if (failures_ > 0) {
    return store_call_reason::kRetry;
  }
  if (cursor_.NeedsWholeRead()) {
    return store_call_reason::kWholeRead;
  }
  if (watching_) {
    return store_call_reason::kWatch;
  }
  return cursor_.IsBehindPeers() ? store_call_reason::kPeerIsAhead
                                 : store_call_reason::kOutdated;
}

void table_follower::Call() {
  if (events_.on_call != nullptr) {
    events_.on_call(NextCallReason());
  }
  waiting_to_retry_ = false;
  const time_point sent_at = clock_();
  last_call_at_ = sent_at;
  cursor_.OnCall();
  const std::weak_ptr<bool> alive = alive_;
  if (cursor_.NeedsWholeRead()) {
    store_.Read(table_, [this, sent_at, alive](const store_response& response) {
      if (!alive.expired()) {
        OnRead(sent_at, response);
        TellResponse(0, sent_at, response);
      }
    });
    return;
  }
  // After a failure the call does not wait for changes, since an immediate
  // response shows sooner that the store is available again.
  const bool wait_for_changes = failures_ == 0 && watching_ && !reading_on_;
  store_.Watch(table_, cursor_.place()->version,
               wait_for_changes ? parameters_.watch_timeout : milliseconds(0),
               [this, from = *cursor_.place(), sent_at,
                alive](const store_response& response) {
                 if (!alive.expired()) {
                   OnWatch(from, sent_at, response);
                   TellResponse(from.version, sent_at, response);
                 }
               });
}

void table_follower::OnRead(time_point sent_at,
                            const store_response& response) {
  if (response.outcome != store_outcome::kDone) {
    OnFailure(response.outcome);
    return;
  }
  const std::optional<store_position> before = cursor_.place();
  if (!cursor_.OnRead(response.at())) {
    // A late response of an era that has ended.
    RetryAfter(parameters_.initial_backoff);
    return;
  }
  const bool restored = before.has_value() && before->era != response.era;
  if (restored) {
    store_clock_ = {};
    store_time_.reset();
  }
  reading_on_ = false;
  OnResponse(sent_at, response, true);
  if (before.has_value() && !restored) {
    ReportMissed(response.rows, *before);
  }
  digest_.Reset(response.rows);
  digest_holds_from_ = NewestVersion(response.rows);
  events_.on_reset(response.rows, clock_());
  if (restored && watching_ && events_.on_watched_changes != nullptr) {
    // Peers cannot go on from here, but learn that they have to read the table.
    events_.on_watched_changes({table_,
                                response.version,
                                response.version,
                                std::nullopt,
                                {},
                                response.era});
  }
  CallWhenDue();
}

void table_follower::OnWatch(const store_position& from, time_point sent_at,
                             const store_response& response) {
  if (response.outcome == store_outcome::kHistoryGone) {
    cursor_.OnHistoryGone(response.era);
    CallWhenDue();
    return;
  }
  if (response.outcome != store_outcome::kDone) {
    if (response.cut_short) {
      // More changes than this node's link carries in time.
      cursor_.RequestWholeRead();
    }
    OnFailure(response.outcome);
    return;
  }
  const store_position before = *cursor_.place();
  // Peers that do not watch know the version of the table's last change, but
  // not how far the store has got since.
  const int64_t known = cursor_.newest_change().version;
  switch (cursor_.OnChanges(from, response.at(), NewestVersion(response.rows),
                            response.reaches_newest)) {
    case replica_step::kIgnore:
      RetryAfter(parameters_.initial_backoff);
      return;
    case replica_step::kReadWhole:
      CallWhenDue();
      return;
    case replica_step::kApply:
      break;
  }
  OnResponse(sent_at, response, response.reaches_newest);
  Report(response.rows, before, clock_());
  if (watching_) {
    PassOn(response, known);
  }
  if (response.reaches_newest) {
    CallAfterNewest();
  } else {
    CallAfterChanges(response);
  }
}

void table_follower::CallAfterNewest() {
  reading_on_ = false;
  const duration time_left =
      last_changes_at_.has_value()
          ? *last_changes_at_ + parameters_.change_delay - clock_()
          : duration(0);
  if (time_left > duration(0)) {
    timer_ = loop_.After(time_left, [this] { CallWhenDue(); });
  } else {
    CallWhenDue();
  }
}

void table_follower::CallAfterChanges(const store_response& response) {
  last_changes_at_ = clock_();
  if (SupersededBytes(response.rows) > kMaxSupersededBytes) {
    cursor_.RequestWholeRead();
  }
  // A follower that neither watches nor knows of a later change hears from its
  // peers whether the response was complete.
  reading_on_ = watching_ || cursor_.IsBehindPeers() ||
                cursor_.NeedsWholeRead() ||
                TimeUntilNextCall(*last_changes_at_) <= duration(0);
  timer_ = loop_.After(
      reading_on_ ? duration(0) : duration(parameters_.change_delay),
      [this] { CallWhenDue(); });
}

void table_follower::PassOn(const store_response& response, int64_t known) {
  if (events_.on_watched_changes == nullptr ||
      !response.responded_at.has_value()) {
    return;
  }
  table_changes changes{
      table_,
      known,
      cursor_.place()->version,
      response.reaches_newest ? response.responded_at : std::nullopt,
      {},
      cursor_.place()->era};
  for (const stored_row& row : response.rows) {
    // Another watching node may have passed on some of them meanwhile.
    if (row.version > known) {
      changes.rows.push_back(row);
    }
  }
  if (!changes.rows.empty()) {
    events_.on_watched_changes(changes);
  }
}

void table_follower::OnResponse(time_point sent_at,
                                const store_response& response,
                                bool reaches_newest) {
  const time_point as_of = store_clock_.EarliestResponseTime(
      sent_at, response.responded_at, clock_());
  previously_current_as_of_ = current_as_of_;
  if (reaches_newest) {
    current_as_of_ = std::max(current_as_of_.value_or(as_of), as_of);
  }
  if (reaches_newest && response.responded_at.has_value()) {
    store_time_ = response.responded_at;
  }
  failures_ = 0;
  if (!reachable_) {
    reachable_ = true;
    events_.on_reachability(true, store_outcome::kDone, clock_());
  }
}

void table_follower::TellResponse(int64_t after, time_point sent_at,
                                  const store_response& response) const {
  if (events_.on_response == nullptr) {
    return;
  }
  const time_point now = clock_();
  follower_response told;
  told.outcome = response.outcome;
  told.rows = response.rows.size();
  for (const stored_row& row : response.rows) {
    told.value_bytes += row.value.size();
  }
  told.after = after;
  told.newest_row = NewestVersion(response.rows);
  told.version = response.version;
  told.store_clock = response.responded_at;
  told.took = std::chrono::duration_cast<milliseconds>(now - sent_at);
  if (current_as_of_.has_value()) {
    told.age = std::chrono::duration_cast<milliseconds>(now - *current_as_of_);
  }
  events_.on_response(told);
}

void table_follower::OnFailure(store_outcome why) {
  const int doublings = std::min(failures_++, kMaxBackoffDoublings);
  const milliseconds backoff = std::min(
      watching_ || !cursor_.place().has_value() || cursor_.IsBehindPeers()
          ? parameters_.max_backoff
          : parameters_.max_backoff_without_watch,
      parameters_.initial_backoff * (1 << doublings));
  if (reachable_) {
    reachable_ = false;
    events_.on_reachability(false, why, clock_());
  }
  RetryAfter(backoff);
}

void table_follower::RetryAfter(milliseconds backoff) {
  waiting_to_retry_ = true;
  timer_ = loop_.After(Jittered(backoff), [this] { CallWhenDue(); });
}

}  // namespace skylarkcroft

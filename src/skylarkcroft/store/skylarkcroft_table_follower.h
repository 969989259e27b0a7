#ifndef SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_FOLLOWER_H_
#define SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/store/skylarkcroft_answer_time.h"
#include "skylarkcroft/store/skylarkcroft_row_store.h"
#include "skylarkcroft/store/skylarkcroft_table_position.h"

namespace skylarkcroft {

/// Pace of a table_follower.
struct follower_terms {
  /// Longest wait of one watch call.
  milliseconds watch_wait{2000};
  /// A follower that does not watch asks the store when what it knows is older.
  milliseconds poll_age{4000};
  /// Pause after a change, so that a series of changes costs few calls.
  milliseconds change_pause{500};
  /// First pause after a failed call; doubles up to the longest.
  milliseconds first_pause{100};
  milliseconds longest_pause{400};

  bool operator==(const follower_terms&) const = default;
};

/// What a follower reports.
struct follower_events {
  /// The whole table, at the start and after history was lost.
  std::function<void(const std::vector<stored_row>&, time_point now)> on_reset;
  std::function<void(const stored_row&, time_point now)> on_change;
  /// The store answered after failures, or failed after answers.
  std::function<void(bool reachable, store_outcome why, time_point now)>
      on_contact;
};

/// Keeps a copy of one table current, from a whole read on. While it watches,
/// a call waits at the store for changes. Otherwise it goes by what peers that
/// watch say of the table, and asks the store only when they know of a change
/// or are silent.
class table_follower {
 public:
  table_follower(event_loop& loop, row_store& store, std::string table,
                 const follower_terms& terms, follower_events events,
                 clock_fn clock);
  ~table_follower();
  table_follower(const table_follower&) = delete;
  table_follower& operator=(const table_follower&) = delete;

  void Start();
  /// Every change made before this instant is known; empty before the first
  /// whole read.
  [[nodiscard]] std::optional<time_point> current_as_of() const {
    return current_as_of_;
  }
  [[nodiscard]] int64_t version() const { return version_; }
  /// Empty before the first whole read, or where the store states no clock.
  [[nodiscard]] std::optional<table_position> position() const {
    return position_;
  }
  /// What a peer says of its copy of the same table.
  void NotePeer(const table_position& peer);
  /// A follower watches until it is told otherwise.
  void SetWatching(bool watching);
  void SetTerms(const follower_terms& terms) { terms_ = terms; }

 private:
  void Next();
  void Call();
  void Rest(duration span);
  /// Time until the store has to be asked; 0 or less when it is due.
  [[nodiscard]] duration RestLeft(time_point now) const;
  void OnRead(time_point sent_at, const store_view& view);
  void OnWatch(time_point sent_at, const store_view& view);
  void OnFailure(store_outcome why);
  void OnAnswer(time_point sent_at, const store_view& view,
                int64_t newest_change);

  event_loop& loop_;
  row_store& store_;
  std::string table_;
  follower_terms terms_;
  follower_events events_;
  clock_fn clock_;
  std::optional<int64_t> watch_from_;
  answer_time answer_time_;
  std::optional<time_point> current_as_of_;
  std::optional<table_position> position_;
  /// Newest change that a peer knows of.
  int64_t peers_newest_ = 0;
  int64_t version_ = 0;
  time_point called_at_{};
  bool watching_ = true;
  /// Waiting for nothing but the time to ask the store.
  bool resting_ = false;
  int failures_ = 0;
  bool reachable_ = false;
  event_loop::handle_ptr timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_FOLLOWER_H_

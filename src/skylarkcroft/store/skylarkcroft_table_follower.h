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

namespace skylarkcroft {

/// Pace of a table_follower.
struct follower_terms {
  /// Longest wait of one watch call.
  milliseconds watch_wait{2000};
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

/// Keeps a copy of one table current through watch calls, from a whole read on.
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

 private:
  void Next();
  void OnRead(time_point sent_at, const store_view& view);
  void OnWatch(time_point sent_at, const store_view& view);
  void OnFailure(store_outcome why);
  void OnAnswer(time_point sent_at, const store_view& view);

  event_loop& loop_;
  row_store& store_;
  std::string table_;
  follower_terms terms_;
  follower_events events_;
  clock_fn clock_;
  std::optional<int64_t> watch_from_;
  answer_time answer_time_;
  std::optional<time_point> current_as_of_;
  int64_t version_ = 0;
  int failures_ = 0;
  bool reachable_ = false;
  event_loop::handle_ptr timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_FOLLOWER_H_

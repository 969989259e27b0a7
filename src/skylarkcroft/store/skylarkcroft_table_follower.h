#ifndef SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_FOLLOWER_H_
#define SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/store/skylarkcroft_replica_audit.h"
#include "skylarkcroft/store/skylarkcroft_replica_cursor.h"
#include "skylarkcroft/store/skylarkcroft_replica_digest.h"
#include "skylarkcroft/store/skylarkcroft_row_store.h"
#include "skylarkcroft/store/skylarkcroft_store_clock_mapping.h"
#include "skylarkcroft/store/skylarkcroft_table_changes.h"
#include "skylarkcroft/store/skylarkcroft_table_position.h"

namespace skylarkcroft {

/// Tunable parameters of a table_follower.
struct table_follower_parameters {
  /// Longest time that one watch call waits at the store.
  milliseconds watch_timeout{2000};
  /// A follower that does not watch polls the store when its replica was last
  /// known to be current longer ago than this.
  milliseconds max_staleness{4000};
  /// Delay after a change before the next call, so that a series of changes
  /// costs few calls.
  milliseconds change_delay{500};
  /// A follower that does not watch leaves a change that a peer has reported
  /// this long to arrive from the peers that watch.
  milliseconds peer_changes_delay{400};
  /// Delay after a first failed call; doubles with each further failure up to
  /// the maximum.
  milliseconds initial_backoff{100};
  milliseconds max_backoff{400};
  /// The maximum for a follower with a replica that does not watch, until a
  /// peer is ahead of it.
  milliseconds max_backoff_without_watch{1600};
  /// A follower that does not watch and hears of a new era of the store reads
  /// the table within this time, so that not all nodes read it at once.
  milliseconds max_whole_read_delay{0};
  /// Least time between two reads of the table because most peers have other
  /// rows.
  milliseconds min_audit_interval{2000};

  bool operator==(const table_follower_parameters&) const = default;
};

/// Why a follower calls the store.
enum class store_call_reason {
  kWholeRead,    ///< It needs all rows of the table.
  kWatch,        ///< It waits for changes on behalf of its peers.
  kPeerIsAhead,  ///< A peer knows of a change that did not arrive here.
  kOutdated,     ///< No peer has reported that the replica is current.
  kRetry,        ///< The call before failed.
};

/// The reason's name in metrics.
std::string_view ToString(store_call_reason reason);

/// What the store answered to a call of a table_follower.
struct follower_response {
  store_outcome outcome = store_outcome::kUnknown;
  size_t rows = 0;         ///< Rows of the response, superseded ones included.
  size_t value_bytes = 0;  ///< Size of their values.
  int64_t after = 0;       ///< The call asked for changes after this version.
  int64_t newest_row = 0;  ///< Version of the last row, 0 where there is none.
  int64_t version = 0;     ///< Version that the response states.
  std::optional<milliseconds> store_clock{};
  milliseconds took{0};
  /// Age of the replica after the response; empty before the first read.
  std::optional<milliseconds> age{};

  bool operator==(const follower_response&) const = default;
};

/// Callbacks of a table_follower.
struct table_follower_callbacks {
  /// All rows of the table: at the start, and again when the store no longer
  /// keeps the changes since the last known version or has begun a new era.
  std::function<void(const std::vector<stored_row>&, time_point now)> on_reset;
  /// A row that was changed or removed.
  std::function<void(const stored_row&, time_point now)> on_change;
  /// The first success after failures, or the first failure after a success,
  /// whose outcome is `why`.
  std::function<void(bool reachable, store_outcome why, time_point now)>
      on_reachability;
  /// Changes that a watch call returned, for the peers that do not watch;
  /// without rows, after the first read in a new era. May be empty.
  std::function<void(const table_changes&)> on_watched_changes{};
  /// A peer passed on the changes after `after`, but those between the
  /// replica's place and that are missing; told once for a place. May be empty.
  std::function<void(const store_position& place, const table_changes& changes)>
      on_gap{};
  /// Most peers that end at the same change have other rows; the table is read
  /// again. May be empty.
  std::function<void(const table_position& own)> on_differing{};
  /// A row that this read of the table shows to have been missed before;
  /// `known_version` is what the replica had, 0 for none. May be empty.
  std::function<void(const stored_row& row, int64_t known_version)> on_missed{};
  /// Each call to the store; may be empty.
  std::function<void(store_call_reason)> on_call{};
  /// Each response of the store, or its absence; may be empty.
  std::function<void(const follower_response&)> on_response{};
};

/// Keeps a replica of one table of the store current. It reads the whole table
/// first. A follower that watches then keeps a call pending at the store that
/// returns when rows change. One that does not watch relies on the table
/// positions reported by peers that do, and polls the store only when a peer
/// knows of a change or no peer reports.
class table_follower {
 public:
  table_follower(event_loop& loop, row_store& store, std::string table,
                 const table_follower_parameters& parameters,
                 table_follower_callbacks events, clock_fn clock);
  ~table_follower();
  table_follower(const table_follower&) = delete;
  table_follower& operator=(const table_follower&) = delete;

  void Start();
  /// Every change made before this time is known; empty before the first read.
  [[nodiscard]] std::optional<time_point> current_as_of() const {
    return current_as_of_;
  }
  /// The value of current_as_of() before the latest response of the store:
  /// every change that this response reported was made after that time.
  [[nodiscard]] std::optional<time_point> previously_current_as_of() const {
    return previously_current_as_of_;
  }
  /// When, by this node's clock, the store gave a peer the response that
  /// `peer` reports; empty when it is not known.
  [[nodiscard]] std::optional<time_point> ResponseTime(
      const table_position& peer, time_point now) const;
  /// What of the store's history the replica has reached.
  [[nodiscard]] store_position place() const {
    return cursor_.place().value_or(store_position{});
  }
  /// How current the replica is, for peers; empty before the first read or when
  /// the store does not state its clock.
  [[nodiscard]] std::optional<table_position> position() const;
  /// Takes in how current a peer's replica of the same table is.
  void OnPeerReport(const table_position& peer);
  /// Applies changes that a watching peer passed on, if none is missing between
  /// them and what is known.
  void OnPeerChanges(const table_changes& changes);
  /// Whether to keep a watch call pending; initially true.
  void SetWatching(bool watching);
  void SetParameters(const table_follower_parameters& parameters) {
    parameters_ = parameters;
  }

 private:
  /// Calls the store now or when a call is next due.
  void CallWhenDue();
  void Call();
  [[nodiscard]] store_call_reason NextCallReason() const;
  void ScheduleNextCall(duration delay);
  /// Time until the next call is due; 0 or less when it is due now.
  [[nodiscard]] duration TimeUntilNextCall(time_point now) const;
  void OnRead(time_point sent_at, const store_response& response);
  void OnWatch(const store_position& from, time_point sent_at,
               const store_response& response);
  /// A peer knows of a change that the replica does not have.
  void OnPeerAhead(const store_position& newest_change);
  /// Reports a response to on_response.
  void TellResponse(int64_t after, time_point sent_at,
                    const store_response& response) const;
  void OnFailure(store_outcome why);
  void RetryAfter(milliseconds backoff);
  /// Hands the rows of a response that are newer than `known` to the peers.
  void PassOn(const store_response& response, int64_t known);
  /// Compares the replica with that of a peer, and reads the table again if it
  /// has missed a change.
  void AuditReplica(const table_position& peer, time_point now);
  /// Reports the rows of a whole read that the replica has missed up to
  /// `place`.
  void ReportMissed(const std::vector<stored_row>& rows,
                    const store_position& place);
  /// Reports the rows that are newer than `known`, what the replica had.
  void Report(const std::vector<stored_row>& rows, const store_position& known,
              time_point now);
  /// `reaches_newest`: the response leaves out no change made before it.
  void OnResponse(time_point sent_at, const store_response& response,
                  bool reaches_newest);
  /// Schedules the call after a response with changes.
  void CallAfterChanges(const store_response& response);
  /// The same after one without changes.
  void CallAfterNewest();

  event_loop& loop_;
  row_store& store_;
  std::string table_;
  table_follower_parameters parameters_;
  table_follower_callbacks events_;
  clock_fn clock_;
  replica_cursor cursor_;
  replica_digest digest_;
  /// A whole read in several pages may return rows newer than its version; the
  /// digest holds once the replica has reached this one.
  int64_t digest_holds_from_ = 0;
  replica_audit audit_;
  /// The place at which a gap was last reported.
  std::optional<store_position> gap_reported_at_;
  store_clock_mapping store_clock_;
  std::optional<time_point> current_as_of_;
  std::optional<time_point> previously_current_as_of_;
  /// The store's clock by which the replica was last known to have every
  /// change.
  std::optional<milliseconds> store_time_;
  /// When a peer first reported a change that the replica does not have.
  time_point peer_change_at_{};
  /// From then on, until the whole table is read in a new era.
  milliseconds whole_read_delay_{0};
  time_point last_call_at_{};
  bool watching_ = true;
  /// Whether the timer runs until the next poll is due; a poll can then be
  /// brought forward, unlike a retry after a failure or the delay after a
  /// change.
  bool waiting_for_poll_ = false;
  /// The last response may have left out changes; the next call does not wait
  /// for further ones.
  bool reading_on_ = false;
  /// When a response with changes last arrived.
  std::optional<time_point> last_changes_at_;
  /// The last call failed and the next one waits for the backoff.
  bool waiting_to_retry_ = false;
  int failures_ = 0;  ///< Failed calls since the last success.
  bool reachable_ = false;
  event_loop::handle_ptr timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_FOLLOWER_H_

#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_ACTIVE_TABLES_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_ACTIVE_TABLES_H_

#include <functional>
#include <optional>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/tables/skylarkcroft_table_set.h"

namespace skylarkcroft {

/// The tables that this node currently serves with. Their revision never goes
/// down, whether a set comes from the store, a peer or an edit on this node.
class active_tables {
 public:
  using listener_fn = std::function<void(const table_set_ptr&)>;

  active_tables();

  /// Never null; revision 0 until the first call of Adopt that returns true.
  [[nodiscard]] const table_set_ptr& current() const { return current_; }

  /// Makes `candidate` active and calls the listeners when its revision is
  /// higher than the active one. Returns whether it did. `queried_at` is when
  /// the request that returned `candidate` was sent.
  bool Adopt(const table_set_ptr& candidate, time_point queried_at);

  /// Records that the store or a live peer returned `revision` as the newest in
  /// response to a request sent at `queried_at`. When it is the active
  /// revision, this confirms the active tables as of `queried_at`, not as of
  /// the arrival of the response: a response that was read only after a long
  /// pause of this process says nothing about the present.
  void RecordNewestRevision(int64_t revision, time_point queried_at);
  /// Records that `revision` exists. When it is higher than the active one, the
  /// active tables can't be confirmed until it has been adopted.
  void RecordKnownRevision(int64_t revision);

  /// True when tables are active and were confirmed as the newest within the
  /// last `staleness_bound`.
  [[nodiscard]] bool MayServe(time_point now, duration staleness_bound) const;

  /// Registers `callback` to run each time new tables become active. Listeners
  /// run in the order of registration.
  void AddListener(listener_fn callback);

 private:
  table_set_ptr current_;
  /// Highest revision known to exist.
  int64_t newest_known_ = 0;
  /// Latest time at which the tables were confirmed as the newest.
  std::optional<time_point> confirmed_at_;
  std::vector<listener_fn> listeners_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_ACTIVE_TABLES_H_

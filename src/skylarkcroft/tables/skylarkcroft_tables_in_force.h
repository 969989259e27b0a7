#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLES_IN_FORCE_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLES_IN_FORCE_H_

#include <functional>
#include <optional>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/tables/skylarkcroft_table_set.h"

namespace skylarkcroft {

/// The tables this node serves under. The revision never goes down, whatever
/// source a set comes from.
class tables_in_force {
 public:
  using change_fn = std::function<void(const table_set_ptr&)>;

  tables_in_force();

  /// Never null; revision 0 before the first adoption.
  [[nodiscard]] const table_set_ptr& current() const { return current_; }

  /// Takes `candidate` into force when its revision is higher, and tells the
  /// listeners. Returns whether it did.
  bool Adopt(const table_set_ptr& candidate, time_point now);

  /// Notes that at `now` the newest revision known to the store or to a live
  /// peer was `revision`.
  void NoteLatest(int64_t revision, time_point now);

  /// True when a table is in force and its currency was confirmed within
  /// `staleness_bound`.
  [[nodiscard]] bool MayServe(time_point now, duration staleness_bound) const;

  /// `call` runs after each adoption, in order of registration.
  void OnChange(change_fn call);

 private:
  table_set_ptr current_;
  std::optional<time_point> confirmed_at_;
  std::vector<change_fn> listeners_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLES_IN_FORCE_H_

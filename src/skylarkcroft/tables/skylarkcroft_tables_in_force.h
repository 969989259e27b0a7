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
  /// listeners. Returns whether it did. `asked_at` is when the question was
  /// sent that `candidate` answers.
  bool Adopt(const table_set_ptr& candidate, time_point asked_at);

  /// Notes that the store or a live peer, asked at `asked_at`, knew of
  /// `revision` as the newest. An answer confirms the tables as of the time of
  /// the question, so that one that waited through a pause confirms nothing.
  void NoteLatest(int64_t revision, time_point asked_at);
  /// Notes that `revision` exists. A higher one than that in force keeps the
  /// tables from being confirmed until it is adopted.
  void NoteExists(int64_t revision);

  /// True when a table is in force and its currency was confirmed within
  /// `staleness_bound`.
  [[nodiscard]] bool MayServe(time_point now, duration staleness_bound) const;

  /// `call` runs after each adoption, in order of registration.
  void OnChange(change_fn call);

 private:
  table_set_ptr current_;
  /// Highest revision heard of.
  int64_t newest_ = 0;
  std::optional<time_point> confirmed_at_;
  std::vector<change_fn> listeners_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLES_IN_FORCE_H_

#ifndef SKYLARKCROFT_DUTIES_SKYLARKCROFT_USAGE_LEDGER_H_
#define SKYLARKCROFT_DUTIES_SKYLARKCROFT_USAGE_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace skylarkcroft {

/// Requests of one workspace that began to run in one window of wall time.
struct usage_count {
  int64_t window = 0;
  std::string workspace;
  int64_t begun = 0;

  bool operator==(const usage_count&) const = default;
};

/// Counts of begun requests by window, of this node and of every other process
/// that told its own. A process that is gone keeps what it last told.
class usage_ledger {
 public:
  usage_ledger(std::string self, int64_t kept_windows);

  void NoteBegun(const std::string& workspace, int64_t window);
  /// Counts only rise, so that late and repeated reports do no harm.
  void Merge(const std::string& process,
             const std::vector<usage_count>& counts);
  void Forget(int64_t newest_window);

  /// Those of the newest two windows of this process.
  [[nodiscard]] std::vector<usage_count> OwnCounts() const;
  /// Sum over all processes, one entry a workspace.
  [[nodiscard]] std::vector<usage_count> Totals(int64_t window) const;

 private:
  using workspace_counts = std::map<std::string, int64_t>;
  using window_counts = std::map<int64_t, workspace_counts>;

  std::string self_;
  int64_t kept_windows_;
  std::map<std::string, window_counts> processes_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DUTIES_SKYLARKCROFT_USAGE_LEDGER_H_

#ifndef SKYLARKCROFT_DUTIES_SKYLARKCROFT_USAGE_LEDGER_H_
#define SKYLARKCROFT_DUTIES_SKYLARKCROFT_USAGE_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace skylarkcroft {

/// Number of requests of one workspace that began to run in one usage window.
struct usage_count {
  int64_t window = 0;
  std::string workspace;
  int64_t begun = 0;

  bool operator==(const usage_count&) const = default;
};

/// Counts requests that began to run, by window and workspace, for this process
/// and every process that reported its counts. The last reported counts of a
/// process that has exited are kept.
class usage_ledger {
 public:
  /// `self` is the unique name of this process.
  usage_ledger(std::string self, int64_t max_windows);

  void RecordBegun(const std::string& workspace, int64_t window);
  /// Takes in the counts reported by another process. A lower count than the
  /// known one is ignored, so that late and repeated reports change nothing.
  void Merge(const std::string& process,
             const std::vector<usage_count>& counts);
  /// Keeps only the newest windows up to `newest_window`.
  void DropOldWindows(int64_t newest_window);

  /// Counts of this process in its newest two windows.
  [[nodiscard]] std::vector<usage_count> OwnCounts() const;
  /// Sum over all processes, one entry per workspace.
  [[nodiscard]] std::vector<usage_count> Totals(int64_t window) const;

 private:
  using workspace_counts = std::map<std::string, int64_t>;
  using window_counts = std::map<int64_t, workspace_counts>;

  std::string self_;
  int64_t max_windows_;
  std::map<std::string, window_counts> counts_by_process_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DUTIES_SKYLARKCROFT_USAGE_LEDGER_H_

#include "skylarkcroft/duties/skylarkcroft_usage_ledger.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {

usage_ledger::usage_ledger(std::string self, int64_t max_windows)
    : self_(std::move(self)), max_windows_(max_windows) {}

void usage_ledger::RecordBegun(const std::string& workspace, int64_t window) {
  ++counts_by_process_[self_][window][workspace];
}

void usage_ledger::Merge(const std::string& process,
                         const std::vector<usage_count>& counts) {
  if (process == self_) {
    return;
  }
  for (const usage_count& reported : counts) {
    int64_t& known =
        counts_by_process_[process][reported.window][reported.workspace];
    known = std::max(known, reported.begun);
  }
}

void usage_ledger::DropOldWindows(int64_t newest_window) {
  for (auto& [process, windows] : counts_by_process_) {
    std::erase_if(windows, [&](const auto& entry) {
      return entry.first <= newest_window - max_windows_;
    });
  }
  std::erase_if(counts_by_process_,
                [](const auto& entry) { return entry.second.empty(); });
}

std::vector<usage_count> usage_ledger::OwnCounts() const {
  std::vector<usage_count> counts;
  const auto own = counts_by_process_.find(self_);
  if (own == counts_by_process_.end() || own->second.empty()) {
    return counts;
  }
  const int64_t newest = own->second.rbegin()->first;
  for (const auto& [window, workspaces] : own->second) {
    if (window < newest - 1) {
      continue;
    }
    for (const auto& [workspace, begun] : workspaces) {
      counts.push_back({window, workspace, begun});
    }
  }
  return counts;
}

std::vector<usage_count> usage_ledger::Totals(int64_t window) const {
  std::map<std::string, int64_t> totals_by_workspace;
  for (const auto& [process, windows] : counts_by_process_) {
    const auto found = windows.find(window);
    if (found == windows.end()) {
      continue;
    }
    for (const auto& [workspace, begun] : found->second) {
      totals_by_workspace[workspace] += begun;
    }
  }
  std::vector<usage_count> totals;
  totals.reserve(totals_by_workspace.size());
  for (const auto& [workspace, begun] : totals_by_workspace) {
    totals.push_back({window, workspace, begun});
  }
  return totals;
}

}  // namespace skylarkcroft

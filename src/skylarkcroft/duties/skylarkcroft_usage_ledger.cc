#include "skylarkcroft/duties/skylarkcroft_usage_ledger.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {

usage_ledger::usage_ledger(std::string self, int64_t kept_windows)
    : self_(std::move(self)), kept_windows_(kept_windows) {}

void usage_ledger::NoteBegun(const std::string& workspace, int64_t window) {
  ++processes_[self_][window][workspace];
}

void usage_ledger::Merge(const std::string& process,
                         const std::vector<usage_count>& counts) {
  if (process == self_) {
    return;
  }
  for (const usage_count& told : counts) {
    int64_t& known = processes_[process][told.window][told.workspace];
    known = std::max(known, told.begun);
  }
}

void usage_ledger::Forget(int64_t newest_window) {
  for (auto& [process, windows] : processes_) {
    std::erase_if(windows, [&](const auto& entry) {
      return entry.first <= newest_window - kept_windows_;
    });
  }
  std::erase_if(processes_,
                [](const auto& entry) { return entry.second.empty(); });
}

std::vector<usage_count> usage_ledger::OwnCounts() const {
  std::vector<usage_count> counts;
  const auto own = processes_.find(self_);
  if (own == processes_.end() || own->second.empty()) {
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
  std::map<std::string, int64_t> sums;
  for (const auto& [process, windows] : processes_) {
    const auto found = windows.find(window);
    if (found == windows.end()) {
      continue;
    }
    for (const auto& [workspace, begun] : found->second) {
      sums[workspace] += begun;
    }
  }
  std::vector<usage_count> totals;
  totals.reserve(sums.size());
  for (const auto& [workspace, begun] : sums) {
    totals.push_back({window, workspace, begun});
  }
  return totals;
}

}  // namespace skylarkcroft

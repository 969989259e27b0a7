#include "standins/plain_service/run_ledger.h"

namespace skylarkcroft::standin {

int64_t run_ledger::Begin(const std::string& key) {
  return ++entries_[key].runs;
}

void run_ledger::Finish(const std::string& key, const run_outcome& outcome) {
  entries_[key].last = outcome;
}

int64_t run_ledger::Runs(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? 0 : found->second.runs;
}

std::optional<run_outcome> run_ledger::Outcome(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? std::nullopt : found->second.last;
}

std::map<std::string, int64_t> run_ledger::AllRuns() const {
  std::map<std::string, int64_t> runs;
  for (const auto& [key, counted] : entries_) {
    runs.emplace(key, counted.runs);
  }
  return runs;
}

}  // namespace skylarkcroft::standin

#include "load/skylarkcroft_restore_model.h"

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include "skylarkcroft/peers/skylarkcroft_peer_report.h"

namespace skylarkcroft::load {
namespace {

constexpr size_t kWatchers = 2;

class restore_play {
 public:
  restore_play(restore_design design,
               const restore_model_parameters& parameters)
      : design_(design), parameters_(parameters), random_(parameters.seed) {}

  restore_cost Play() {
    for (size_t table = 0; table < parameters_.tables; ++table) {
      PlayTable();
    }
    return Cost();
  }

 private:
  milliseconds UpTo(milliseconds most) {
    return milliseconds(std::uniform_int_distribution<milliseconds::rep>(
        0, most.count())(random_));
  }
  bool IsLost() {
    return std::uniform_real_distribution<double>(0, 1)(random_) <
           parameters_.lost_share;
  }

  void PlayTable() {
    std::vector<milliseconds> watchers_current;
    for (size_t i = 0; i < std::min(kWatchers, parameters_.nodes); ++i) {
      watchers_current.push_back(ReadAfterWatch(UpTo(parameters_.max_backoff)));
    }
    for (size_t i = kWatchers; i < parameters_.nodes; ++i) {
      PlayOther(i, watchers_current);
    }
  }

  /// A call at `at` tells of the new era, and a second one reads the table.
  milliseconds ReadAfterWatch(milliseconds at) {
    calls_.push_back(at);
    return Read(at + parameters_.store_delay);
  }
  milliseconds Read(milliseconds at) {
    calls_.push_back(at);
    current_.push_back(at + parameters_.store_delay);
    return current_.back();
  }

  void PlayOther(size_t node, const std::vector<milliseconds>& watchers) {
    const bool retries = parameters_.outage > parameters_.max_staleness;
    const milliseconds own_call =
        UpTo(retries ? parameters_.max_backoff_of_others
                     : parameters_.max_staleness);
    const milliseconds told = Told(node, watchers);
    milliseconds read = told;
    if (design_ == restore_design::kToldSpread) {
      read +=
          UpTo(std::min(parameters_.max_spread,
                        parameters_.spread_per_node *
                            static_cast<milliseconds::rep>(parameters_.nodes)));
    }
    if (retries) {
      // A node that waits to retry first waits at least half of the backoff.
      read = std::max(read, told + parameters_.max_backoff / 2 +
                                UpTo(parameters_.max_backoff / 2));
    }
    const bool learns_itself =
        design_ == restore_design::kOwnCalls || own_call < read;
    if (learns_itself) {
      ReadAfterWatch(own_call);
    } else {
      Read(read);
    }
  }

  /// When a node that does not watch hears of the restore.
  milliseconds Told(size_t node, const std::vector<milliseconds>& watchers) {
    const milliseconds period = ReportPeriod(parameters_.nodes);
    milliseconds told = milliseconds::max() / 2;
    for (size_t from = 0; from < watchers.size(); ++from) {
      const milliseconds reported =
          watchers[from] + UpTo(period) + parameters_.link_delay;
      told = std::min(told, reported + (IsLost() ? period : milliseconds(0)));
      const bool tells = design_ == restore_design::kToldAtOnce ||
                         design_ == restore_design::kToldSpread;
      if (!tells || IsLost()) {
        continue;
      }
      // The second watcher goes through the nodes the other way round.
      const size_t place = from == 0 ? node : parameters_.nodes - node;
      const milliseconds queued(static_cast<milliseconds::rep>(
          static_cast<double>(place * parameters_.datagram_bytes) * 1000 /
          parameters_.bytes_per_second));
      told = std::min(told, watchers[from] + queued + parameters_.link_delay);
    }
    return told;
  }

  [[nodiscard]] restore_cost Cost() {
    constexpr milliseconds kSecond{1000};
    constexpr milliseconds kBucket{100};
    restore_cost cost;
    std::map<milliseconds::rep, size_t> buckets;
    for (const milliseconds at : calls_) {
      cost.calls_in_first_second += at < kSecond ? 1 : 0;
      cost.most_calls_in_100_ms =
          std::max(cost.most_calls_in_100_ms, ++buckets[at / kBucket]);
    }
    std::sort(current_.begin(), current_.end());
    cost.median_delay = current_[current_.size() / 2];
    cost.longest_delay = current_.back();
    return cost;
  }

  restore_design design_;
  restore_model_parameters parameters_;
  std::mt19937_64 random_;
  std::vector<milliseconds> calls_;
  std::vector<milliseconds> current_;  ///< When each node's tables are.
};

}  // namespace

restore_cost PlayRestore(restore_design design,
                         const restore_model_parameters& parameters) {
  return restore_play(design, parameters).Play();
}

}  // namespace skylarkcroft::load

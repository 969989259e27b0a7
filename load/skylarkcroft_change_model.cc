#include "load/skylarkcroft_change_model.h"

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

#include "skylarkcroft/peers/skylarkcroft_peer_report.h"

namespace skylarkcroft::load {
namespace {

constexpr size_t kWatchers = 2;
constexpr size_t kGossipFanOut = 4;

class change_play {
 public:
  explicit change_play(const change_model_parameters& parameters)
      : parameters_(parameters),
        random_(parameters.seed),
        known_at_(parameters.nodes),
        bytes_sent_(parameters.nodes, 0) {
    for (size_t i = 0; i < std::min(kWatchers, parameters.nodes); ++i) {
      known_at_[i] = parameters.store_delay;
    }
  }

  void SendFromWatchers() {
    const double bytes_per_ms = parameters_.bytes_per_second / 1000;
    for (size_t from = 0; from < std::min(kWatchers, parameters_.nodes);
         ++from) {
      for (size_t i = kWatchers; i < parameters_.nodes; ++i) {
        // The second watcher goes through the nodes the other way round.
        const size_t to = from == 0 ? i : parameters_.nodes + kWatchers - 1 - i;
        bytes_sent_[from] += parameters_.datagram_bytes;
        const milliseconds queued(static_cast<milliseconds::rep>(
            static_cast<double>(bytes_sent_[from]) / bytes_per_ms));
        Deliver(to, *known_at_[from] + queued + parameters_.link_delay);
      }
    }
  }

  void Gossip() {
    constexpr int kMaxRounds = 20;
    milliseconds now = parameters_.store_delay;
    for (int round = 0; round < kMaxRounds; ++round) {
      const std::vector<std::optional<milliseconds>> before = known_at_;
      for (size_t from = 0; from < parameters_.nodes; ++from) {
        if (!before[from].has_value()) {
          continue;
        }
        for (size_t i = 0; i < kGossipFanOut; ++i) {
          bytes_sent_[from] += parameters_.datagram_bytes;
          Deliver(random_() % parameters_.nodes, now + parameters_.link_delay);
        }
      }
      now += parameters_.gossip_round;
    }
  }

  /// Nodes that do not know the change read the store some time after the first
  /// report of a node that knows it.
  void ReadWhereMissing(milliseconds wait) {
    const milliseconds period = ReportPeriod(parameters_.nodes);
    std::uniform_int_distribution<milliseconds::rep> phase(0, period.count());
    for (std::optional<milliseconds>& known : known_at_) {
      if (known.has_value()) {
        continue;
      }
      // Either watcher's report tells of it.
      const milliseconds told(std::min(phase(random_), phase(random_)));
      ++store_calls_;
      known = 2 * parameters_.store_delay + told + wait;
    }
  }

  [[nodiscard]] change_cost Cost() const {
    std::vector<milliseconds> delays;
    for (const std::optional<milliseconds>& known : known_at_) {
      delays.push_back(known.value_or(milliseconds::max()));
    }
    std::sort(delays.begin(), delays.end());
    return {std::min(kWatchers, parameters_.nodes) + store_calls_,
            *std::max_element(bytes_sent_.begin(), bytes_sent_.end()),
            delays[delays.size() / 2], delays.back()};
  }

 private:
  void Deliver(size_t to, milliseconds at) {
    std::uniform_real_distribution<double> uniform(0, 1);
    if (uniform(random_) < parameters_.lost_share) {
      return;
    }
    known_at_[to] = std::min(known_at_[to].value_or(at), at);
  }

  change_model_parameters parameters_;
  std::mt19937_64 random_;
  std::vector<std::optional<milliseconds>> known_at_;
  std::vector<size_t> bytes_sent_;
  size_t store_calls_ = 0;
};

}  // namespace

change_cost PlayChange(change_design design,
                       const change_model_parameters& parameters) {
  change_play play(parameters);
  switch (design) {
    case change_design::kEachReads:
      play.ReadWhereMissing(milliseconds(0));
      break;
    case change_design::kWatchersSend:
      play.SendFromWatchers();
      play.ReadWhereMissing(parameters.read_after);
      break;
    case change_design::kGossip:
      play.Gossip();
      play.ReadWhereMissing(parameters.read_after);
      break;
  }
  return play.Cost();
}

}  // namespace skylarkcroft::load

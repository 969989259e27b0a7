#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_PACES_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_PACES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_pace_parameters.h"

namespace skylarkcroft {

/// An upstream that starts to take requests.
struct pace_start {
  std::string id;
  uint32_t key = 0;
  int slots = 0;
  /// Time for which its caches are expected to be cold; 0 when it is not known.
  milliseconds cold{0};
  time_point at{};
  /// It may have paused for this node alone. Then there is no limit if it runs
  /// requests of the others.
  bool for_this_node = false;
  size_t nodes = 1;  ///< Number of nodes that use it.

  bool operator==(const pace_start&) const = default;
};

/// What the peers report of an upstream.
struct pace_of_peers {
  double credit = 0;  ///< What their answers have added to the limit.
  int running = 0;    ///< Their requests.

  bool operator==(const pace_of_peers&) const = default;
};

/// The beginning or the end of an upstream's limit.
struct pace_change {
  std::string upstream;
  bool begun = false;
  double limit = 0;

  bool operator==(const pace_change&) const = default;
};

/// Limits the requests at upstreams that have just started or returned. The
/// limit counts over all nodes: a first value that all nodes know, plus what
/// each node's answers have added, which the nodes report to each other as
/// sums, so that lost reports do no harm. Which node uses how much of it is
/// left to the draw among the upstreams, which takes the limit as the room
/// there.
class upstream_paces {
 public:
  using peers_fn = std::function<pace_of_peers(uint32_t key)>;

  explicit upstream_paces(const pace_parameters& parameters)
      : parameters_(parameters) {}

  /// The upstream starts to take requests.
  void Start(const pace_start& start);
  /// The first event of an answer arrived `waited` after the request.
  void RecordAnswer(uint32_t key, milliseconds waited, milliseconds expected,
                    time_point now);
  /// The upstream has refused a request, failed it or been silent.
  void RecordRejection(uint32_t key, time_point now);
  [[nodiscard]] bool IsUpdateDue(time_point now) const {
    return !paces_.empty() && now - updated_at_ >= kUpdatePeriod;
  }
  /// Computes the limits; returns what has begun or
  /// ended.
  std::vector<pace_change> Update(const peers_fn& peers, time_point now);

  /// The limit over all nodes; empty when there is none.
  [[nodiscard]] std::optional<double> Limit(uint32_t key) const;
  /// What this node's answers have added to the limit.
  [[nodiscard]] double OwnCredit(uint32_t key) const;

 private:
  static constexpr milliseconds kUpdatePeriod{100};

  struct pace {
    pace_start start;
    double credit = 0;
    double limit = 0;
    std::optional<time_point> rejected_at;
    std::optional<time_point> ended_at;
    bool told = false;
  };

  [[nodiscard]] double FirstLimit(const pace_start& start) const;
  [[nodiscard]] bool IsOver(const pace& one, time_point now) const;
  void AddCredit(pace& one, double amount) const;
  /// The pace that is in force; null if there is none.
  [[nodiscard]] const pace* Find(uint32_t key) const;

  pace_parameters parameters_;
  std::unordered_map<uint32_t, pace> paces_;
  time_point updated_at_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_PACES_H_

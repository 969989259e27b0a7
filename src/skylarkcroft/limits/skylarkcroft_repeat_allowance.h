#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_REPEAT_ALLOWANCE_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_REPEAT_ALLOWANCE_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// The bound on repeats of one service over all nodes.
struct repeat_terms {
  double share = 0.2;  ///< Repeats for each request.
  milliseconds window{10000};
  double reserve = 54;  ///< Repeats in a window beyond the share, all nodes.
  /// Part of the bound that is used, for what nodes count differently.
  double safety = 0.8;

  bool operator==(const repeat_terms&) const = default;
};

/// One node's part of the bound on repeats: a share of its own requests and an
/// even part of the reserve.
class repeat_allowance {
 public:
  explicit repeat_allowance(const repeat_terms& terms);

  void SetTerms(const repeat_terms& terms) { terms_ = terms; }
  void NoteRequest(const std::string& service, time_point now);
  /// Takes one repeat; false when the part of this node is used up. `nodes`
  /// counts this one.
  bool TryRepeat(const std::string& service, size_t nodes, time_point now);

 private:
  struct recent {
    std::deque<time_point> requests;
    std::deque<time_point> repeats;
  };

  void Forget(recent& one, time_point now) const;

  repeat_terms terms_;
  std::unordered_map<std::string, recent> services_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_REPEAT_ALLOWANCE_H_

#ifndef SKYLARKCROFT_STANDINS_ENGINE_ORDER_STATE_H_
#define SKYLARKCROFT_STANDINS_ENGINE_ORDER_STATE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::standin {

/// Whether an engine compares the fencing numbers of its orders.
enum class fencing_mode { kChecked, kIgnored };

/// What an engine is to serve. An empty model serves any model's name.
struct engine_assignment {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::string role = "both";
  bool draining = false;

  bool operator==(const engine_assignment&) const = default;
};

/// One order.
struct engine_order {
  int64_t fence = 0;
  std::string issuer;
  int64_t number = 0;
  engine_assignment desired;

  bool operator==(const engine_order&) const = default;
};

enum class order_outcome { kApplied, kStaleFence };

/// Reads the body of `POST /orders`; throws config_error.
engine_order ParseOrder(std::string_view body);

/// The last order applied and what has come of it.
class order_state {
 public:
  /// A change of model, version or adapters takes `load_time`.
  order_state(fencing_mode fencing, milliseconds load_time,
              engine_assignment initial);

  order_outcome Apply(const engine_order& order, time_point now);
  /// The last order applied; of a stale order the highest fence remains.
  [[nodiscard]] const engine_order& last() const { return last_; }
  /// What the engine serves at `now`: role and draining change at once, the
  /// rest when loading ends.
  [[nodiscard]] engine_assignment ActualAt(time_point now) const;
  [[nodiscard]] bool LoadingAt(time_point now) const {
    return now < loaded_at_;
  }

 private:
  fencing_mode fencing_;
  milliseconds load_time_;
  engine_assignment before_;
  engine_order last_;
  time_point loaded_at_ = time_point::min();
};

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_ENGINE_ORDER_STATE_H_

#ifndef SKYLARKCROFT_METRICS_SKYLARKCROFT_COUNTER_H_
#define SKYLARKCROFT_METRICS_SKYLARKCROFT_COUNTER_H_

#include <cstdint>

namespace skylarkcroft {

/// A count that only rises.
class counter {
 public:
  void Increment(uint64_t by = 1) { value_ += by; }
  [[nodiscard]] uint64_t value() const { return value_; }

 private:
  uint64_t value_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_METRICS_SKYLARKCROFT_COUNTER_H_

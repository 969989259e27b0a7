#ifndef SKYLARKCROFT_METRICS_SKYLARKCROFT_GAUGE_H_
#define SKYLARKCROFT_METRICS_SKYLARKCROFT_GAUGE_H_

namespace skylarkcroft {

/// A present value that rises and falls.
class gauge {
 public:
  void Set(double value) { value_ = value; }
  void Add(double by) { value_ += by; }
  [[nodiscard]] double value() const { return value_; }

 private:
  double value_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_METRICS_SKYLARKCROFT_GAUGE_H_

#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SLOWNESS_EVIDENCE_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SLOWNESS_EVIDENCE_H_

namespace skylarkcroft {

/// Evidence on how slow an engine is relative to its service: a weighted sum of
/// estimates, so that the evidence of several nodes can be added.
struct slowness_evidence {
  /// Sum of log2(slowness) times its weight; slowness is the factor on the
  /// time that the median engine of the service takes.
  double weighted_log = 0;
  /// Number of measurement windows behind it; 0 when nothing is known.
  double weight = 0;

  bool operator==(const slowness_evidence&) const = default;
  slowness_evidence& operator+=(const slowness_evidence& other) {
    weighted_log += other.weighted_log;
    weight += other.weight;
    return *this;
  }
  slowness_evidence& operator-=(const slowness_evidence& other) {
    weighted_log -= other.weighted_log;
    weight -= other.weight;
    return *this;
  }
  /// log2(slowness); 0, the median, when nothing is known.
  [[nodiscard]] double Log() const {
    return weight > 0 ? weighted_log / weight : 0;
  }
};

/// The evidence for both kinds of work of an engine.
struct speed_evidence {
  slowness_evidence prefill;
  slowness_evidence tokens;

  bool operator==(const speed_evidence&) const = default;
  speed_evidence& operator+=(const speed_evidence& other) {
    prefill += other.prefill;
    tokens += other.tokens;
    return *this;
  }
  speed_evidence& operator-=(const speed_evidence& other) {
    prefill -= other.prefill;
    tokens -= other.tokens;
    return *this;
  }
};

/// Factors on the time that the median engine of a service takes; 1 for an
/// engine whose speed is not known.
struct engine_slowness {
  double prefill = 1;
  double tokens = 1;

  bool operator==(const engine_slowness&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SLOWNESS_EVIDENCE_H_

#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_RETRY_BUDGET_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_RETRY_BUDGET_H_

namespace skylarkcroft {

/// Limits the retries of one pool to a share of its first attempts. A reserve
/// of 10 retries lets a pool with little traffic retry at all.
class retry_budget {
 public:
  /// `share` is the number of retries allowed per first attempt, 0 to 1.
  explicit retry_budget(double share);

  /// Adds `share` retries to the budget, up to the reserve.
  void RecordFirstAttempt();
  /// Takes one retry from the budget; false when less than one is left.
  bool TryAcquireRetry();

 private:
  double share_;
  double retries_left_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_RETRY_BUDGET_H_

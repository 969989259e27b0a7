#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_RETRY_BUDGET_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_RETRY_BUDGET_H_

namespace skylarkcroft {

/// Bounds the retries of one pool to a share of its first tries, with a small
/// reserve so that a quiet pool can retry at all.
class retry_budget {
 public:
  /// `share` is retries for each first try, 0 to 1.
  explicit retry_budget(double share);

  void NoteFirstTry();
  /// Takes one retry from the budget; false when it is used up.
  bool TryRetry();

 private:
  double share_;
  double tokens_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_RETRY_BUDGET_H_

#include "skylarkcroft/rollout/skylarkcroft_rollout_judgement.h"

#include <algorithm>
#include <cmath>

namespace skylarkcroft {
namespace {

// Answers and bad ones that the old version is credited with on each route, so
// that a short record without a failure does not count as proof of none.
constexpr double kPriorAnswers = 25;
constexpr double kPriorBad = 0.25;

// Answers of both versions, and how many of them are bad.
struct bad_counts {
  double old_bad = 0;
  double old_answers = 0;
  double new_bad = 0;
  double new_answers = 0;
};

// Compares the bad answers of the new version with what the old version's
// shares let expect, summed over routes: the versions may have different mixes
// of routes.
class stratified_test {
 public:
  void Add(const bad_counts& counts) {
    if (counts.new_answers <= 0) {
      return;
    }
    const double old_answers = counts.old_answers + kPriorAnswers;
    const double old_bad = counts.old_bad + kPriorBad;
    const double pooled =
        (old_bad + counts.new_bad) / (old_answers + counts.new_answers);
    bad_ += counts.new_bad;
    answers_ += counts.new_answers;
    expected_ += counts.new_answers * old_bad / old_answers;
    variance_ += counts.new_answers * pooled * (1 - pooled) *
                 (1 + counts.new_answers / old_answers);
  }

  [[nodiscard]] std::optional<rollout_fault> Fault(
      const std::string& what, const std::string& route, int64_t min_bad,
      double min_difference,
      const rollout_judgement_parameters& parameters) const {
    const double excess = bad_ - expected_;
    if (bad_ < static_cast<double>(min_bad) ||
        excess < min_difference * answers_ ||
        excess < parameters.margin * std::sqrt(variance_) ||
        Evidence() < parameters.min_evidence) {
      return std::nullopt;
    }
    return rollout_fault{what, route, std::llround(bad_),
                         std::llround(answers_), expected_ / answers_};
  }

 private:
  // Chernoff bound for the number of rare events. The normal approximation
  // alone is far too ready to reject at a few bad answers.
  [[nodiscard]] double Evidence() const {
    return bad_ * std::log(bad_ / expected_) - bad_ + expected_;
  }

  double bad_ = 0;
  double answers_ = 0;
  double expected_ = 0;
  double variance_ = 0;
};

int64_t Answers(const version_outcomes& outcomes) {
  return outcomes.ok + outcomes.failed + outcomes.lost;
}

bad_counts Failures(const version_outcomes& old_version,
                    const version_outcomes& new_version) {
  return {static_cast<double>(old_version.failed),
          static_cast<double>(Answers(old_version)),
          static_cast<double>(new_version.failed),
          static_cast<double>(Answers(new_version))};
}

bad_counts Losses(const version_outcomes& old_version,
                  const version_outcomes& new_version) {
  return {static_cast<double>(old_version.lost),
          static_cast<double>(Answers(old_version)),
          static_cast<double>(new_version.lost),
          static_cast<double>(Answers(new_version))};
}

// Running requests count once they have been running for as long as a slow
// answer takes: in a short period the slow answers of a route with long ones
// would end too late.
bad_counts Slowness(const version_outcomes& old_version,
                    const version_outcomes& new_version, bool is_paired,
                    const rollout_judgement_parameters& parameters) {
  const size_t median = old_version.ended.Quantile(0.5);
  const size_t slow_from = std::min(
      duration_counts::kBuckets - 1,
      std::max(median + (is_paired ? parameters.slow_buckets
                                   : parameters.slow_buckets_unpaired),
               duration_counts::BucketOf(parameters.min_slow_duration)));
  const auto bad = [slow_from](const version_outcomes& outcomes) {
    return static_cast<double>(outcomes.ended.AtLeast(slow_from) +
                               outcomes.running.AtLeast(slow_from));
  };
  const auto answers = [slow_from](const version_outcomes& outcomes) {
    return static_cast<double>(outcomes.ended.Total() +
                               outcomes.running.AtLeast(slow_from));
  };
  return {bad(old_version), answers(old_version), bad(new_version),
          answers(new_version)};
}

}  // namespace

std::optional<rollout_fault> FindRolloutFault(
    const rollout_totals& span, const rollout_totals& reference, bool paired,
    const rollout_judgement_parameters& parameters) {
  stratified_test all_failures;
  stratified_test all_losses;
  stratified_test all_slowness;
  bool all_paired = true;
  std::optional<rollout_fault> fault;
  for (const auto& [route, outcomes] : span) {
    const version_outcomes& new_version = outcomes.new_version;
    const bool is_paired =
        paired && Answers(outcomes.old_version) >= parameters.min_old_answers;
    const auto before = reference.find(route);
    const version_outcomes& old_version = is_paired || before == reference.end()
                                              ? outcomes.old_version
                                              : before->second.old_version;
    const bad_counts failures = Failures(old_version, new_version);
    all_failures.Add(failures);
    const bad_counts losses = Losses(old_version, new_version);
    all_losses.Add(losses);
    stratified_test route_failures;
    route_failures.Add(failures);
    fault = route_failures.Fault("failures", route, parameters.min_failed,
                                 parameters.min_failure_difference, parameters);
    if (fault.has_value()) {
      return fault;
    }
    if (old_version.ended.Total() < parameters.min_old_answers) {
      // The old version's median is not known well enough.
      continue;
    }
    const bad_counts slowness =
        Slowness(old_version, new_version, is_paired, parameters);
    all_slowness.Add(slowness);
    all_paired = all_paired && is_paired;
    stratified_test route_slowness;
    route_slowness.Add(slowness);
    fault = route_slowness.Fault("slowness", route, parameters.min_slow_answers,
                                 is_paired
                                     ? parameters.min_slow_difference
                                     : parameters.min_slow_difference_unpaired,
                                 parameters);
    if (fault.has_value()) {
      return fault;
    }
  }
  fault = all_failures.Fault("failures", "", parameters.min_failed,
                             parameters.min_failure_difference, parameters);
  if (fault.has_value()) {
    return fault;
  }
  fault =
      all_slowness.Fault("slowness", "", parameters.min_slow_answers,
                         all_paired ? parameters.min_slow_difference
                                    : parameters.min_slow_difference_unpaired,
                         parameters);
  if (fault.has_value()) {
    return fault;
  }
  return all_losses.Fault("lost answers", "", parameters.min_lost,
                          parameters.min_failure_difference, parameters);
}

}  // namespace skylarkcroft

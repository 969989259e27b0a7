#include "load/skylarkcroft_group_recorder.h"

#include <numeric>

namespace skylarkcroft::load {
namespace {

std::vector<reason_count> ToCounts(
    const std::map<std::string, int64_t>& by_reason) {
  std::vector<reason_count> counts;
  counts.reserve(by_reason.size());
  for (const auto& [reason, count] : by_reason) {
    counts.push_back({reason, count});
  }
  return counts;
}

bool Within(duration value, milliseconds target) {
  return target == milliseconds(0) || value <= target;
}

duration MeanGap(const request_record& record) {
  if (record.token_gaps.empty()) {
    return duration(0);
  }
  const duration sum = std::accumulate(record.token_gaps.begin(),
                                       record.token_gaps.end(), duration(0));
  return sum / static_cast<int64_t>(record.token_gaps.size());
}

}  // namespace

group_recorder::group_recorder(const caller_group& group)
    : targets_(group.targets) {
  sums_.name = group.name;
  sums_.rank = group.rank;
  for (int caller = 1; caller <= group.callers; ++caller) {
    sums_.callers.push_back({caller, 0, 0, 0});
  }
}

bool group_recorder::MeetsTargets(const request_record& record) const {
  const duration first = record.first_token.value_or(record.total);
  return Within(first, targets_.first_token) &&
         Within(MeanGap(record), targets_.between_tokens) &&
         Within(record.total, targets_.total);
}

void group_recorder::AddAnswer(const request_record& record) {
  ++sums_.answered;
  ++sums_.callers[record.caller - 1].answered;
  total_.Add(record.total);
  if (record.faults.Any()) {
    ++sums_.wrong;
    return;
  }
  ++sums_.whole;
  sums_.targets_met += MeetsTargets(record) ? 1 : 0;
}

void group_recorder::Add(const request_record& record) {
  ++sums_.sent;
  caller_result& caller = sums_.callers[record.caller - 1];
  ++caller.sent;
  caller.tokens += record.tokens;
  sums_.tokens += record.tokens;
  sums_.resumes += record.resumes;
  sums_.faults.repeated_tokens += record.faults.repeated_tokens;
  sums_.faults.missing_tokens += record.faults.missing_tokens;
  sums_.faults.foreign_tokens += record.faults.foreign_tokens;
  sums_.faults.malformed_events += record.faults.malformed_events;
  if (record.first_token.has_value()) {
    first_token_.Add(*record.first_token);
  }
  for (const duration gap : record.token_gaps) {
    between_tokens_.Add(gap);
  }
  switch (record.outcome) {
    case request_outcome::kAnswered:
      AddAnswer(record);
      return;
    case request_outcome::kRefused:
      ++sums_.refused;
      ++refused_by_reason_[record.reason];
      ++refused_by_run_state_[record.run_state];
      return;
    case request_outcome::kLost:
      ++sums_.lost;
      ++lost_by_cause_[record.reason];
      return;
    case request_outcome::kOpen:
      ++sums_.open;
      return;
  }
}

group_result group_recorder::Result() const {
  group_result result = sums_;
  result.refused_by_reason = ToCounts(refused_by_reason_);
  result.refused_by_run_state = ToCounts(refused_by_run_state_);
  result.lost_by_cause = ToCounts(lost_by_cause_);
  result.first_token = first_token_.Summary();
  result.between_tokens = between_tokens_.Summary();
  result.total = total_.Summary();
  return result;
}

}  // namespace skylarkcroft::load

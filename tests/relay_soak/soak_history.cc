#include "tests/relay_soak/soak_history.h"

#include <algorithm>
#include <set>
#include <utility>

namespace skylarkcroft::soak {
namespace {

constexpr int kOk = 200;
// Part of the requests of the calm end that must be served.
constexpr double kServedAtEnd = 0.95;

using violations = std::vector<std::string>;

bool PromisesNotRun(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

bool IsInTouch(const history& seen, const std::string& node, time_point at,
               const promise_bounds& bounds) {
  return std::none_of(
      seen.disturbances.begin(), seen.disturbances.end(),
      [&](const disturbance& one) {
        const bool concerns = one.whom.empty() || one.whom == node;
        return concerns && one.from <= at && at - bounds.contact <= one.until;
      });
}

void CheckRuns(const history& seen, const promise_bounds& bounds,
               violations& found) {
  for (const run_seen& arrival : seen.arrivals) {
    if (!seen.requests.contains(arrival.request)) {
      found.push_back("UNASKED " + arrival.request + " at " + arrival.upstream);
    }
    if (!arrival.key_shown.empty()) {
      found.push_back("KEY " + arrival.request + " was passed on with its key");
    }
  }
  std::map<std::string, const run_seen*> last;
  for (const run_seen& run : seen.runs) {
    const auto request = seen.requests.find(run.request);
    if (request == seen.requests.end()) {
      continue;
    }
    const run_seen* before = std::exchange(last[run.request], &run);
    if (before == nullptr) {
      continue;
    }
    const request_kind kind = request->second.kind;
    if (kind == request_kind::kOnce || kind == request_kind::kStream) {
      found.push_back("TWICE " + run.request + " at " + before->upstream +
                      " and " + run.upstream);
      continue;
    }
    const bool overlaps = kind == request_kind::kResumable &&
                          before->ended_at.has_value() &&
                          *before->ended_at > run.at + bounds.overlap;
    if (overlaps && IsInTouch(seen, request->second.node, run.at, bounds)) {
      found.push_back("TWICE " + run.request + " went on at " + run.upstream +
                      " while " + before->upstream + " was at work");
    }
  }
}

void CheckAnswers(const history& seen, violations& found) {
  std::set<std::string> ran;
  for (const run_seen& arrival : seen.arrivals) {
    ran.insert(arrival.request);
  }
  for (const auto& [id, request] : seen.requests) {
    const bool once = request.kind == request_kind::kOnce ||
                      request.kind == request_kind::kStream;
    if (once && PromisesNotRun(request.status) && ran.contains(id)) {
      found.push_back("REFUSED " + id + " got " +
                      std::to_string(request.status) + " and has run");
    }
    if (request.status == kOk && request.whole && !request.matches) {
      found.push_back("MIXED " + id + " got other bytes than were made");
    }
    const bool planned_cut = seen.planned_only && !request.gave_up &&
                             ran.contains(id) && !request.whole;
    if (planned_cut) {
      found.push_back("LOST " + id + " at " + request.node +
                      " was cut off beside planned work");
    }
  }
}

void CheckChanges(const history& seen, const promise_bounds& bounds,
                  violations& found) {
  for (const run_seen& run : seen.arrivals) {
    const auto request = seen.requests.find(run.request);
    if (request == seen.requests.end()) {
      continue;
    }
    const auto revoked = seen.revoked.find(request->second.key);
    if (revoked != seen.revoked.end() &&
        request->second.sent_at > revoked->second + bounds.revocation) {
      found.push_back("REVOKED " + run.request + " ran with a key taken away");
    }
    const auto leaving = seen.leaving.find(run.upstream);
    if (leaving != seen.leaving.end() &&
        run.at > leaving->second + bounds.drain &&
        IsInTouch(seen, request->second.node, run.at, bounds)) {
      found.push_back("DRAIN " + run.request + " reached " + run.upstream +
                      " after it had left");
    }
  }
}

void CheckDuties(const history& seen, violations& found) {
  int64_t newest_fence = 0;
  std::map<int64_t, std::string> holders;
  std::map<int64_t, nlohmann::json> counts;
  for (const platform_standin::cloud_call& call : seen.cloud_calls) {
    if (call.fence < newest_fence) {
      found.push_back("ONE " + call.holder + " called with fence " +
                      std::to_string(call.fence) + " after " +
                      std::to_string(newest_fence));
    }
    newest_fence = std::max(newest_fence, call.fence);
    const auto holder = holders.emplace(call.fence, call.holder).first;
    if (holder->second != call.holder) {
      found.push_back("ONE " + call.holder + " and " + holder->second +
                      " hold fence " + std::to_string(call.fence));
    }
    if (call.path != "/usage") {
      continue;
    }
    const auto window = call.body.at("window_number").get<int64_t>();
    const auto first = counts.emplace(window, call.body.at("counts")).first;
    if (first->second != call.body.at("counts")) {
      found.push_back("ONE window " + std::to_string(window) +
                      " was reported with two counts");
    }
  }
}

void CheckCalmEnd(const history& seen, violations& found) {
  double asked = 0;
  double served = 0;
  for (const auto& [id, request] : seen.requests) {
    if (request.sent_at < seen.calm_from ||
        seen.revoked.contains(request.key)) {
      continue;
    }
    ++asked;
    served += request.status == kOk && request.whole ? 1 : 0;
  }
  if (served < kServedAtEnd * asked) {
    found.push_back("RECOVER " + std::to_string(served) + " of " +
                    std::to_string(asked) + " served after the last fault");
  }
}

}  // namespace

std::vector<std::string> FindViolations(const history& seen,
                                        const promise_bounds& bounds) {
  violations found;
  CheckRuns(seen, bounds, found);
  CheckAnswers(seen, found);
  CheckChanges(seen, bounds, found);
  CheckDuties(seen, found);
  CheckCalmEnd(seen, found);
  return found;
}

}  // namespace skylarkcroft::soak

#include "tests/history/skylarkcroft_soak_faults.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "tests/history/skylarkcroft_soak_observer.h"

namespace skylarkcroft::history {
namespace {

constexpr const char* kFaultPath = "/admin/fault";
constexpr uint64_t kFaultMinMs = 300;
constexpr uint64_t kFaultRangeMs = 3000;
constexpr uint64_t kQuietMinMs = 200;
constexpr uint64_t kQuietRangeMs = 800;
constexpr int kLeaveNoticeMs = 8000;
/// One strike in so many makes an engine leave.
constexpr uint64_t kLeaveOneOf = 5;
/// One strike in so many repeats the last one.
constexpr uint64_t kRepeatOneOf = 4;
constexpr uint64_t kMostTogether = 2;

soak_fault Fault(const endpoint& target, const nlohmann::json& body) {
  return {body.dump(), target, kFaultPath, body.dump()};
}

}  // namespace

soak_faults::soak_faults(event_loop& loop, http_client& client,
                         const soak_targets& targets, run_history& history,
                         soak_observer& observer, uint64_t seed, note_fn note)
    : loop_(loop),
      client_(client),
      targets_(targets),
      history_(history),
      observer_(observer),
      random_(seed),
      note_(std::move(note)) {}

void soak_faults::WaitForNext() {
  const auto quiet = static_cast<int64_t>(kQuietMinMs + Below(kQuietRangeMs));
  timer_ = loop_.After(milliseconds(quiet), [this] { Strike(); });
}

void soak_faults::Strike() {
  if (Below(kLeaveOneOf) == 0) {
    LeaveOne();
  }
  if (last_.empty() || Below(kRepeatOneOf) != 0) {
    last_.clear();
    const uint64_t together = 1 + Below(kMostTogether);
    for (uint64_t number = 0; number < together; ++number) {
      last_.push_back(Draw());
    }
  }
  for (const soak_fault& fault : last_) {
    Send(fault, nullptr);
  }
  const auto length = static_cast<int64_t>(kFaultMinMs + Below(kFaultRangeMs));
  timer_ = loop_.After(milliseconds(length), [this] {
    Clear();
    WaitForNext();
  });
}

void soak_faults::Clear() {
  for (const soak_fault& fault : last_) {
    const bool platform = fault.target == targets_.platform;
    const nlohmann::json none =
        platform ? nlohmann::json({{"service", "all"}, {"mode", "none"}})
                 : nlohmann::json({{"mode", "none"}});
    Send(Fault(fault.target, none), nullptr);
  }
}

void soak_faults::Stop() {
  timer_.reset();
  Clear();
}

soak_fault soak_faults::Draw() {
  constexpr uint64_t kGroups = 3;
  switch (Below(kGroups)) {
    case 0:
      return DrawPlatformFault();
    case 1:
      return DrawEngineFault();
    default:
      return DrawServiceFault();
  }
}

soak_fault soak_faults::DrawPlatformFault() {
  const std::vector<nlohmann::json> faults = {
      {{"service", "tables"}, {"mode", "outage"}},
      {{"service", "tables"}, {"mode", "hang"}},
      {{"service", "tables"}, {"mode", "delay"}, {"delay_ms", 400}},
      {{"service", "tables"}, {"mode", "lose_answer"}, {"probability", 0.4}},
      {{"service", "tables"}, {"mode", "throttle"}, {"probability", 0.5}},
      {{"service", "all"}, {"mode", "outage"}},
  };
  return Fault(targets_.platform, faults[Below(faults.size())]);
}

soak_fault soak_faults::DrawEngineFault() {
  const std::vector<nlohmann::json> faults = {
      {{"mode", "refuse"}, {"probability", 0.7}},
      {{"mode", "error"}, {"probability", 0.5}},
      {{"mode", "hang"}, {"probability", 0.3}},
      {{"mode", "break_after"}, {"tokens", 3}, {"probability", 0.6}},
      {{"mode", "silent"}},
      {{"mode", "slow"}, {"factor", 10}},
  };
  return Fault(targets_.engines[Below(targets_.engines.size())],
               faults[Below(faults.size())]);
}

soak_fault soak_faults::DrawServiceFault() {
  const std::vector<nlohmann::json> faults = {
      {{"mode", "lose_answer"}, {"probability", 0.5}},
      {{"mode", "not_run"}, {"probability", 0.7}},
      {{"mode", "late"}, {"delay_ms", 700}, {"probability", 0.5}},
      {{"mode", "error"}, {"probability", 0.3}},
      {{"mode", "refuse"}, {"probability", 0.5}},
      {{"mode", "hang"}, {"probability", 0.3}},
      {{"mode", "break_after"}, {"tokens", 10}, {"probability", 0.5}},
      {{"mode", "silent"}},
  };
  return Fault(targets_.services[Below(targets_.services.size())],
               faults[Below(faults.size())]);
}

void soak_faults::LeaveOne() {
  // A stand-in that has left does not come back, so half of them stay.
  if ((left_ + 1) * 2 > targets_.engines.size()) {
    return;
  }
  const endpoint leaving = targets_.engines[left_++];
  const nlohmann::json body = {{"notice_ms", kLeaveNoticeMs}};
  Send({"leave", leaving, "/admin/leave", body.dump()}, [this, leaving] {
    history_.leaves.push_back({ToString(leaving), WallNowMs()});
    observer_.Watch(leaving);
  });
}

void soak_faults::Send(const soak_fault& fault,
                       const std::function<void()>& done) {
  note_(ToString(fault.target) + " " + fault.name);
  http_request request;
  request.method = "POST";
  request.target = fault.path;
  request.body = fault.body;
  const auto place = calls_.emplace(calls_.end());
  *place =
      client_.Send(fault.target, request, {},
                   {{}, {}, [this, place, done](const http_result& result) {
                      if (result.Ok() && done) {
                        done();
                      }
                      calls_.erase(place);
                    }});
}

}  // namespace skylarkcroft::history

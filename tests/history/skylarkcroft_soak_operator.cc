#include "tests/history/skylarkcroft_soak_operator.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace skylarkcroft::history {
namespace {

constexpr uint64_t kMinGapMs = 100;
constexpr uint64_t kGapRangeMs = 900;
constexpr uint64_t kVariants = 50;
constexpr uint64_t kConditionalOneOf = 2;
constexpr milliseconds kOperatorPatience{20000};

}  // namespace

soak_operator::soak_operator(event_loop& loop, http_client& client,
                             const soak_targets& targets, run_history& history,
                             std::string name, uint64_t seed)
    : loop_(loop),
      client_(client),
      targets_(targets),
      history_(history),
      name_(std::move(name)),
      random_(seed) {}

void soak_operator::WaitForNext() {
  const auto gap = static_cast<int64_t>(kMinGapMs + random_() % kGapRangeMs);
  timer_ = loop_.After(milliseconds(gap), [this] { SendNext(); });
}

void soak_operator::SendNext() {
  if (stopped_) {
    return;
  }
  const soak_node& node = targets_.nodes[random_() % targets_.nodes.size()];
  now_ = {};
  now_.process = name_;
  now_.node = node.name;
  now_.edit_id = name_ + "-" + std::to_string(++number_);
  now_.call_ms = WallNowMs();
  http_request request;
  request.method = "PUT";
  request.target = "/operators/pools";
  request.body = SoakPools(targets_, static_cast<int>(random_() % kVariants));
  request.headers.Add("X-Edit-Id", now_.edit_id);
  if (random_() % kConditionalOneOf == 0) {
    request.headers.Add("If-Match", std::to_string(last_revision_));
  }
  http_call_options options;
  options.progress_timeout = kOperatorPatience;
  call_ = client_.Send(
      node.operators, request, options,
      {{}, {}, [this](const http_result& result) { OnDone(result); }});
}

void soak_operator::OnDone(const http_result& result) {
  now_.return_ms = WallNowMs();
  const nlohmann::json answer =
      nlohmann::json::parse(result.response.body, nullptr, false);
  if (result.outcome == http_outcome::kComplete && answer.is_object()) {
    const std::string outcome = answer.value("outcome", std::string());
    now_.revision = answer.value("revision", int64_t{0});
    if (outcome == "accepted") {
      now_.verdict = edit_verdict::kAccepted;
    } else if (outcome == "conflict" || outcome == "rejected" ||
               outcome == "invalid") {
      now_.verdict = edit_verdict::kRefused;
    }
    last_revision_ = now_.revision;
  }
  history_.edits.push_back(now_);
  call_.reset();
  WaitForNext();
}

}  // namespace skylarkcroft::history

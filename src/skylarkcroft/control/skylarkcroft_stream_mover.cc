#include "skylarkcroft/control/skylarkcroft_stream_mover.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kCallTimeout{1000};

http_request PostJson(const std::string& target,
                      const nlohmann::json& document) {
  http_request request;
  request.method = "POST";
  request.target = target;
  request.headers.Add("Content-Type", "application/json");
  request.body = document.dump();
  return request;
}

int64_t RestartTokens(const running_stream& stream, int64_t delivered) {
  return stream.prompt_tokens + delivered;
}

}  // namespace

stream_mover::stream_mover(event_loop& loop, http_client& client,
                           movable_streams& streams,
                           const move_parameters& parameters, clock_fn clock)
    : loop_(loop),
      calls_(loop, client, kCallTimeout),
      streams_(streams),
      parameters_(parameters),
      clock_(std::move(clock)) {}

stream_mover::~stream_mover() = default;

void stream_mover::OnReclaimNotice(const endpoint& address,
                                   time_point notice_end) {
  const bool added = notice_ends_.insert_or_assign(address, notice_end).second;
  if (added) {
    PlanMovesOf(address, notice_end);
  }
  if (!timer_) {
    timer_ = loop_.Every(kPlanPeriod, [this] { PlanAll(); });
  }
}

void stream_mover::PlanAll() {
  const time_point now = clock_();
  std::erase_if(notice_ends_,
                [now](const auto& entry) { return now >= entry.second; });
  const std::map<endpoint, time_point> planned = notice_ends_;
  for (const auto& [address, notice_end] : planned) {
    PlanMovesOf(address, notice_end);
  }
}

void stream_mover::PlanMovesOf(const endpoint& address, time_point notice_end) {
  const time_point now = clock_();
  const std::set<std::string> transferring = transferring_[address];
  std::vector<running_stream> streams = streams_.RunningOn(address, now);
  std::erase_if(streams, [&](const running_stream& stream) {
    return transferring.contains(stream.request_id);
  });
  for (const planned_move& move :
       PlanMoves(streams, parameters_, now, notice_end)) {
    const bool full =
        transferring_[address].size() >= parameters_.parallel_transfers;
    if (move.kind == move_kind::kStay ||
        (move.kind == move_kind::kTransfer && full)) {
      continue;
    }
    const auto stream = std::find_if(streams.begin(), streams.end(),
                                     [&](const running_stream& one) {
                                       return one.request_id == move.request_id;
                                     });
    StartMove(address, *stream, move.kind);
  }
}

void stream_mover::StartMove(const endpoint& address,
                             const running_stream& stream, move_kind kind) {
  if (!streams_.HoldAttempt(stream.request_id)) {
    return;
  }
  if (kind == move_kind::kResume) {
    Resume(stream);
    return;
  }
  transferring_[address].insert(stream.request_id);
  auto pending = std::make_shared<transfer>();
  pending->from = address;
  pending->stream = stream;
  calls_.Send(address,
              PostJson("/kv/export", {{"request_id", stream.request_id}}),
              [this, pending](const std::optional<http_response>& response) {
                OnExported(pending, response);
              });
}

void stream_mover::OnExported(const transfer_ptr& pending,
                              const std::optional<http_response>& response) {
  const nlohmann::json exported =
      Succeeded(response) ? ParseBoundedJson(response->body) : nlohmann::json();
  const std::optional<endpoint> target =
      streams_.ChooseTarget(pending->stream.request_id, clock_());
  const bool usable = exported.is_object() && exported.contains("kv") &&
                      exported.at("kv").is_string();
  if (!usable || !target) {
    EndTransfer(pending->from, pending->stream.request_id);
    Resume(pending->stream);
    return;
  }
  pending->kv = exported.at("kv").get<std::string>();
  if (exported.contains("tokens") && exported.at("tokens").is_number()) {
    pending->kv_tokens = exported.at("tokens").get<int64_t>();
  }
  pending->target = *target;
  const nlohmann::json import = {{"request_id", pending->stream.request_id},
                                 {"kv", pending->kv}};
  calls_.Send(*target, PostJson("/kv/import", import),
              [this, pending](const std::optional<http_response>& imported) {
                OnImported(pending, Succeeded(imported));
              });
}

void stream_mover::OnImported(const transfer_ptr& pending, bool imported) {
  const running_stream& stream = pending->stream;
  EndTransfer(pending->from, stream.request_id);
  if (!imported) {
    Resume(stream);
    return;
  }
  const std::optional<int64_t> delivered =
      streams_.MoveTo(stream.request_id, pending->target, clock_());
  if (!delivered) {
    return;
  }
  ++counts_.transferred;
  // Tokens that the old engine generated but did not deliver are generated
  // again.
  counts_.recomputed_tokens +=
      std::max<int64_t>(0, pending->kv_tokens - *delivered);
  counts_.restart_tokens += RestartTokens(stream, *delivered);
}

void stream_mover::Resume(const running_stream& stream) {
  const std::optional<int64_t> delivered =
      streams_.Resume(stream.request_id, clock_());
  if (!delivered) {
    return;
  }
  ++counts_.resumed;
  counts_.recomputed_tokens += RestartTokens(stream, *delivered);
  counts_.restart_tokens += RestartTokens(stream, *delivered);
}

void stream_mover::EndTransfer(const endpoint& address,
                               const std::string& request_id) {
  transferring_[address].erase(request_id);
}

}  // namespace skylarkcroft

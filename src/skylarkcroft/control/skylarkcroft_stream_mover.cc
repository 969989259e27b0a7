#include "skylarkcroft/control/skylarkcroft_stream_mover.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace skylarkcroft {
namespace {

constexpr milliseconds kCallLimit{1000};

http_request PostJson(const std::string& target,
                      const nlohmann::json& document) {
  http_request request;
  request.method = "POST";
  request.target = target;
  request.headers.Add("Content-Type", "application/json");
  request.body = document.dump();
  return request;
}

int64_t WholeCost(const running_stream& stream, int64_t delivered) {
  return stream.prompt_tokens + delivered;
}

}  // namespace

stream_mover::stream_mover(event_loop& loop, http_client& client,
                           movable_streams& streams, const move_terms& terms,
                           clock_fn clock)
    : loop_(loop),
      calls_(loop, client, kCallLimit),
      streams_(streams),
      terms_(terms),
      clock_(std::move(clock)) {}

stream_mover::~stream_mover() = default;

void stream_mover::NoteLeaving(const endpoint& address, time_point notice_end) {
  const bool added = leaving_.insert_or_assign(address, notice_end).second;
  if (added) {
    PlanFor(address, notice_end);
  }
  if (!timer_) {
    timer_ = loop_.Every(kPlanPeriod, [this] { PlanAll(); });
  }
}

void stream_mover::PlanAll() {
  const time_point now = clock_();
  std::erase_if(leaving_,
                [now](const auto& entry) { return now >= entry.second; });
  const std::map<endpoint, time_point> planned = leaving_;
  for (const auto& [address, notice_end] : planned) {
    PlanFor(address, notice_end);
  }
}

void stream_mover::PlanFor(const endpoint& address, time_point notice_end) {
  const time_point now = clock_();
  const std::set<std::string> busy = moving_[address];
  std::vector<running_stream> streams = streams_.On(address, now);
  std::erase_if(streams, [&](const running_stream& stream) {
    return busy.contains(stream.request_id);
  });
  for (const planned_move& move : PlanMoves(streams, terms_, now, notice_end)) {
    const bool full = moving_[address].size() >= terms_.parallel_transfers;
    if (move.kind == move_kind::kStay ||
        (move.kind == move_kind::kTransfer && full)) {
      continue;
    }
    const auto stream = std::find_if(streams.begin(), streams.end(),
                                     [&](const running_stream& one) {
                                       return one.request_id == move.request_id;
                                     });
    Start(address, *stream, move.kind);
  }
}

void stream_mover::Start(const endpoint& address, const running_stream& stream,
                         move_kind kind) {
  if (!streams_.Hold(stream.request_id)) {
    return;
  }
  if (kind == move_kind::kResume) {
    Resume(stream);
    return;
  }
  moving_[address].insert(stream.request_id);
  auto moving = std::make_shared<transfer>();
  moving->from = address;
  moving->stream = stream;
  calls_.Send(address,
              PostJson("/kv/export", {{"request_id", stream.request_id}}),
              [this, moving](const std::optional<http_response>& response) {
                OnExported(moving, response);
              });
}

void stream_mover::OnExported(const transfer_ptr& moving,
                              const std::optional<http_response>& response) {
  const nlohmann::json exported =
      Succeeded(response)
          ? nlohmann::json::parse(response->body, nullptr, false)
          : nlohmann::json();
  const std::optional<endpoint> target =
      streams_.Choose(moving->stream.request_id, clock_());
  const bool usable = exported.is_object() && exported.contains("kv") &&
                      exported.at("kv").is_string();
  if (!usable || !target) {
    End(moving->from, moving->stream.request_id);
    Resume(moving->stream);
    return;
  }
  moving->kv = exported.at("kv").get<std::string>();
  if (exported.contains("tokens") && exported.at("tokens").is_number()) {
    moving->kv_tokens = exported.at("tokens").get<int64_t>();
  }
  moving->target = *target;
  const nlohmann::json import = {{"request_id", moving->stream.request_id},
                                 {"kv", moving->kv}};
  calls_.Send(*target, PostJson("/kv/import", import),
              [this, moving](const std::optional<http_response>& imported) {
                OnImported(moving, Succeeded(imported));
              });
}

void stream_mover::OnImported(const transfer_ptr& moving, bool imported) {
  const running_stream& stream = moving->stream;
  End(moving->from, stream.request_id);
  if (!imported) {
    Resume(stream);
    return;
  }
  const std::optional<int64_t> delivered =
      streams_.MoveTo(stream.request_id, moving->target, clock_());
  if (!delivered) {
    return;
  }
  ++counts_.transferred;
  // Tokens that the old engine made but did not get across are made again.
  counts_.recomputed_tokens +=
      std::max<int64_t>(0, moving->kv_tokens - *delivered);
  counts_.restart_tokens += WholeCost(stream, *delivered);
}

void stream_mover::Resume(const running_stream& stream) {
  const std::optional<int64_t> delivered =
      streams_.Resume(stream.request_id, clock_());
  if (!delivered) {
    return;
  }
  ++counts_.resumed;
  counts_.recomputed_tokens += WholeCost(stream, *delivered);
  counts_.restart_tokens += WholeCost(stream, *delivered);
}

void stream_mover::End(const endpoint& address, const std::string& request_id) {
  moving_[address].erase(request_id);
}

}  // namespace skylarkcroft

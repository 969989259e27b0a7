#include "skylarkcroft/node/skylarkcroft_registry_streams.h"

#include <algorithm>

#include "skylarkcroft/node/skylarkcroft_request_registry.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"

namespace skylarkcroft {
namespace {

const upstream* FindAt(const std::vector<upstream_state>& members,
                       const endpoint& address) {
  const auto found = std::find_if(
      members.begin(), members.end(),
      [&](const auto& state) { return state.spec.address == address; });
  return found == members.end() ? nullptr : &found->spec;
}

int64_t DeliveredTokens(const request_run& run) {
  return static_cast<int64_t>(run.result()->tokens().size());
}

}  // namespace

std::vector<running_stream> registry_streams::RunningOn(const endpoint& address,
                                                        time_point now) const {
  std::vector<running_stream> streams;
  for (const auto& [id, entry] : registry_.entries()) {
    if (!entry.run || entry.run->upstream_name().empty() ||
        !entry.run->request().completion) {
      continue;
    }
    const upstream* at =
        FindAt(directory_.UpstreamsInPool(entry.pool_name), address);
    if (at == nullptr || at->name != entry.run->upstream_name()) {
      continue;
    }
    const completion_request& asked = *entry.run->request().completion;
    streams.push_back({id, entry.work_rank, asked.PromptTokens(),
                       DeliveredTokens(*entry.run), asked.max_tokens,
                       now - entry.arrived});
  }
  return streams;
}

request_run* registry_streams::RunOf(const std::string& request_id) {
  const request_entry* entry = registry_.Find(request_id);
  return entry == nullptr ? nullptr : entry->run.get();
}

bool registry_streams::HoldAttempt(const std::string& request_id) {
  request_run* run = RunOf(request_id);
  return run != nullptr && run->HoldForMove();
}

std::optional<endpoint> registry_streams::ChooseTarget(
    const std::string& request_id, time_point now) {
  const request_run* run = RunOf(request_id);
  const upstream* chosen = run == nullptr ? nullptr : run->ChooseForMove(now);
  return chosen == nullptr ? std::nullopt : std::optional(chosen->address);
}

std::optional<int64_t> registry_streams::MoveTo(const std::string& request_id,
                                                const endpoint& target,
                                                time_point now) {
  request_run* run = RunOf(request_id);
  if (run == nullptr) {
    return std::nullopt;
  }
  const upstream* at =
      FindAt(directory_.UpstreamsInPool(run->request().target.name), target);
  if (at == nullptr) {
    return Resume(request_id, now);
  }
  const int64_t delivered = DeliveredTokens(*run);
  const upstream copy = *at;
  return run->MoveTo(copy, now) ? std::optional(delivered) : std::nullopt;
}

std::optional<int64_t> registry_streams::Resume(const std::string& request_id,
                                                time_point now) {
  request_run* run = RunOf(request_id);
  if (run == nullptr) {
    return std::nullopt;
  }
  const int64_t delivered = DeliveredTokens(*run);
  return run->ResumeElsewhere(now) ? std::optional(delivered) : std::nullopt;
}

}  // namespace skylarkcroft

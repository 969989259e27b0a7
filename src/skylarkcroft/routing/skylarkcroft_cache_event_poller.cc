#include "skylarkcroft/routing/skylarkcroft_cache_event_poller.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "skylarkcroft/routing/skylarkcroft_cache_events.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"

namespace skylarkcroft {

cache_event_poller::cache_event_poller(event_loop& loop, http_client& client,
                                       const upstream_directory& directory,
                                       std::shared_ptr<prefix_tracker> prefixes,
                                       milliseconds period)
    : loop_(loop),
      client_(client),
      directory_(directory),
      prefixes_(std::move(prefixes)),
      period_(period),
      timer_(loop.Every(period, [this] { PollAll(); })) {}

void cache_event_poller::PollAll() {
  DropRemovedUpstreams();
  for (const std::string& pool : directory_.PoolNames()) {
    if (directory_.KindOf(pool) != pool_kind::kEngine) {
      continue;
    }
    for (const upstream_state& state : directory_.UpstreamsInPool(pool)) {
      const upstream_key key{pool, state.spec.name};
      poll_state& poll = polls_[key];
      if (poll.address != state.spec.address) {
        prefixes_->Forget(key);
        poll.address = state.spec.address;
        poll.last_seq = 0;
        poll.call.reset();
      }
      if (poll.call == nullptr) {
        Poll(key, poll);
      }
    }
  }
}

void cache_event_poller::DropRemovedUpstreams() {
  std::erase_if(polls_, [this](const auto& entry) {
    const auto& members = directory_.UpstreamsInPool(entry.first.pool);
    const bool removed = std::none_of(
        members.begin(), members.end(), [&](const upstream_state& state) {
          return state.spec.name == entry.first.upstream;
        });
    if (removed) {
      prefixes_->Forget(entry.first);
    }
    return removed;
  });
}

void cache_event_poller::Poll(const upstream_key& key, poll_state& poll) {
  http_request request;
  request.target = "/events?after=" + std::to_string(poll.last_seq);
  http_call_options options;
  options.progress_timeout = 4 * period_;
  http_call_events events;
  events.on_done = [this, key](const http_result& result) {
    OnPage(key, result);
  };
  poll.call = client_.Send(poll.address, request, options, std::move(events));
}

void cache_event_poller::OnPage(const upstream_key& key,
                                const http_result& result) {
  poll_state& poll = polls_.at(key);
  // This callback runs inside the call object, which must not be destroyed
  // before the callback returns.
  loop_.Defer([ended = std::shared_ptr<http_call>(std::move(poll.call))] {});
  const std::optional<cache_event_page> page =
      result.Ok() ? ParseCacheEvents(result.response.body) : std::nullopt;
  if (page) {
    poll.last_seq = ApplyCacheEvents(*prefixes_, key, poll.last_seq, *page);
  }
}

}  // namespace skylarkcroft

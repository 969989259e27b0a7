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
  DropGone();
  for (const std::string& pool : directory_.PoolNames()) {
    if (directory_.KindOf(pool) != pool_kind::kEngine) {
      continue;
    }
    for (const upstream_state& state : directory_.InPool(pool)) {
      const upstream_key key{pool, state.spec.name};
      position& place = positions_[key];
      if (place.address != state.spec.address) {
        prefixes_->Forget(key);
        place.address = state.spec.address;
        place.after = 0;
        place.call.reset();
      }
      if (place.call == nullptr) {
        Poll(key, place);
      }
    }
  }
}

void cache_event_poller::DropGone() {
  std::erase_if(positions_, [this](const auto& entry) {
    const auto& members = directory_.InPool(entry.first.pool);
    const bool gone = std::none_of(
        members.begin(), members.end(), [&](const upstream_state& state) {
          return state.spec.name == entry.first.upstream;
        });
    if (gone) {
      prefixes_->Forget(entry.first);
    }
    return gone;
  });
}

void cache_event_poller::Poll(const upstream_key& key, position& place) {
  http_request request;
  request.target = "/events?after=" + std::to_string(place.after);
  http_call_options options;
  options.progress_timeout = 4 * period_;
  http_call_events events;
  events.on_done = [this, key](const http_result& result) {
    OnPage(key, result);
  };
  place.call = client_.Send(place.address, request, options, std::move(events));
}

void cache_event_poller::OnPage(const upstream_key& key,
                                const http_result& result) {
  position& place = positions_.at(key);
  // The call is still inside its own callback.
  loop_.Defer([ended = std::shared_ptr<http_call>(std::move(place.call))] {});
  const std::optional<cache_event_page> page =
      result.Ok() ? ParseCacheEvents(result.response.body) : std::nullopt;
  if (page) {
    place.after = ApplyCacheEvents(*prefixes_, key, place.after, *page);
  }
}

}  // namespace skylarkcroft

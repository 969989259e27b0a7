#ifndef SKYLARKCROFT_ROUTING_SKYLARKCROFT_CACHE_EVENT_POLLER_H_
#define SKYLARKCROFT_ROUTING_SKYLARKCROFT_CACHE_EVENT_POLLER_H_

#include <cstdint>
#include <map>
#include <memory>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/routing/skylarkcroft_prefix_tracker.h"

namespace skylarkcroft {

class upstream_directory;

/// Polls `GET /events` of every engine once per period and applies the reported
/// prefix-cache changes to the prefix tracker. An upstream that does not serve
/// this path is polled again in each period; this has no other effect.
class cache_event_poller {
 public:
  cache_event_poller(event_loop& loop, http_client& client,
                     const upstream_directory& directory,
                     std::shared_ptr<prefix_tracker> prefixes,
                     milliseconds period);

 private:
  struct poll_state {
    endpoint address;
    /// Sequence number of the last event received.
    int64_t last_seq = 0;
    http_call_ptr call;
  };

  void PollAll();
  void DropRemovedUpstreams();
  void Poll(const upstream_key& key, poll_state& poll);
  void OnPage(const upstream_key& key, const http_result& result);

  event_loop& loop_;
  http_client& client_;
  const upstream_directory& directory_;
  std::shared_ptr<prefix_tracker> prefixes_;
  milliseconds period_;
  std::map<upstream_key, poll_state> polls_;
  event_loop::handle_ptr timer_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_CACHE_EVENT_POLLER_H_

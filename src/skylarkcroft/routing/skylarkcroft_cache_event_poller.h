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

/// Asks every engine for the changes of its prefix cache, once a period each,
/// and applies them to what is believed of it. An upstream without the path is
/// asked again in each period, at no other cost.
class cache_event_poller {
 public:
  cache_event_poller(event_loop& loop, http_client& client,
                     const upstream_directory& directory,
                     std::shared_ptr<prefix_tracker> prefixes,
                     milliseconds period);

 private:
  struct position {
    endpoint address;
    /// Number of the last event seen.
    int64_t after = 0;
    http_call_ptr call;
  };

  void PollAll();
  void DropGone();
  void Poll(const upstream_key& key, position& place);
  void OnPage(const upstream_key& key, const http_result& result);

  event_loop& loop_;
  http_client& client_;
  const upstream_directory& directory_;
  std::shared_ptr<prefix_tracker> prefixes_;
  milliseconds period_;
  std::map<upstream_key, position> positions_;
  event_loop::handle_ptr timer_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_CACHE_EVENT_POLLER_H_

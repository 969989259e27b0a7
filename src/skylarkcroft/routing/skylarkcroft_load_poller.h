#ifndef SKYLARKCROFT_ROUTING_SKYLARKCROFT_LOAD_POLLER_H_
#define SKYLARKCROFT_ROUTING_SKYLARKCROFT_LOAD_POLLER_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"

namespace skylarkcroft {

/// Parses the body of a `GET /load` response; empty when it is malformed.
std::optional<load_report> ParseLoadReport(std::string_view body);

/// Requests `GET /load` from every upstream once per period.
class load_poller {
 public:
  load_poller(event_loop& loop, http_client& client,
              upstream_directory& directory, milliseconds period,
              clock_fn clock);

  /// Polls every upstream now, except those with a poll in flight.
  void PollAll();

 private:
  struct poll_key {
    std::string pool;
    std::string upstream;

    auto operator<=>(const poll_key&) const = default;
  };

  void Poll(const poll_key& key, const endpoint& address);
  void OnReport(const poll_key& key, const http_result& result);

  http_client& client_;
  upstream_directory& directory_;
  milliseconds period_;
  clock_fn clock_;
  std::map<poll_key, http_call_ptr> calls_;
  event_loop& loop_;
  event_loop::handle_ptr timer_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_LOAD_POLLER_H_

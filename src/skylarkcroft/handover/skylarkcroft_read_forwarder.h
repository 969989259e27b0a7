#ifndef SKYLARKCROFT_HANDOVER_SKYLARKCROFT_READ_FORWARDER_H_
#define SKYLARKCROFT_HANDOVER_SKYLARKCROFT_READ_FORWARDER_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"

namespace skylarkcroft {

class event_loop;

/// Request header that marks a read forwarded by another node; such a read is
/// not forwarded again.
inline constexpr const char* kForwardedHeader = "X-Forwarded-Read";

/// Forwards a caller's read of a response to the node that holds the response,
/// and streams the response back.
class read_forwarder {
 public:
  read_forwarder(event_loop& loop, http_client& client);
  ~read_forwarder();
  read_forwarder(const read_forwarder&) = delete;
  read_forwarder& operator=(const read_forwarder&) = delete;

  /// Forwards the read in `exchange` to `holder`, the address at which another
  /// node listens for callers. When `holder` does not respond, replies with a
  /// problem document that tells the caller to retry.
  void Forward(const http_exchange_ptr& exchange, const endpoint& holder);
  /// Number of reads in progress.
  [[nodiscard]] size_t active() const { return reads_.size(); }

 private:
  struct forwarded_read;

  void OnDone(const std::shared_ptr<forwarded_read>& finished,
              const http_result& result);

  event_loop& loop_;
  http_client& client_;
  std::map<const forwarded_read*, std::shared_ptr<forwarded_read>> reads_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HANDOVER_SKYLARKCROFT_READ_FORWARDER_H_

#ifndef SKYLARKCROFT_HANDOVER_SKYLARKCROFT_PEER_READER_H_
#define SKYLARKCROFT_HANDOVER_SKYLARKCROFT_PEER_READER_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"

namespace skylarkcroft {

class event_loop;

/// Marks a read that another node passed on, which is not passed on again.
inline constexpr const char* kForwardedHeader = "X-Forwarded-Read";

/// Passes a caller's read of an answer on to the node that has it, and the
/// answer back as it comes.
class peer_reader {
 public:
  peer_reader(event_loop& loop, http_client& client);
  ~peer_reader();
  peer_reader(const peer_reader&) = delete;
  peer_reader& operator=(const peer_reader&) = delete;

  /// Reads from the callers' address of another node.
  void Forward(const http_exchange_ptr& exchange, const endpoint& holder);
  /// Reads under way.
  [[nodiscard]] size_t active() const { return reads_.size(); }

 private:
  struct read;

  void OnDone(const std::shared_ptr<read>& ended, const http_result& result);

  event_loop& loop_;
  http_client& client_;
  std::map<const read*, std::shared_ptr<read>> reads_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HANDOVER_SKYLARKCROFT_PEER_READER_H_

#ifndef SKYLARKCROFT_HANDOVER_SKYLARKCROFT_HANDOVER_SENDER_H_
#define SKYLARKCROFT_HANDOVER_SKYLARKCROFT_HANDOVER_SENDER_H_

#include <functional>
#include <string>
#include <vector>

#include "skylarkcroft/handover/skylarkcroft_handover_record.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// A node that could take requests over.
struct handover_target {
  std::string name;
  /// Its operators' address.
  endpoint address;

  bool operator==(const handover_target&) const = default;
};

/// Gives a leaving node's requests to the first of several nodes that takes
/// them.
class handover_sender {
 public:
  /// `successor` is empty when no node took them.
  using done_fn = std::function<void(const std::string& successor)>;

  handover_sender(http_client& client, std::string peer_key,
                  wall_clock_fn wall_clock);

  /// Offers all of `records` to `targets` in order, one try each.
  void Send(const std::vector<handover_record>& records,
            std::vector<handover_target> targets, done_fn done);

 private:
  void TryNext();

  http_client& client_;
  std::string peer_key_;
  wall_clock_fn wall_clock_;
  std::string body_;
  std::vector<handover_target> targets_;
  size_t next_ = 0;
  done_fn done_;
  http_call_ptr call_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HANDOVER_SKYLARKCROFT_HANDOVER_SENDER_H_

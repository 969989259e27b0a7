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

/// A node that may take over requests.
struct handover_target {
  std::string name;
  /// The address at which it listens for operators and peers.
  endpoint address;

  bool operator==(const handover_target&) const = default;
};

/// What became of the requests that were offered.
struct handover_outcome {
  /// Node that adopted requests; empty when none did.
  std::string successor;
  /// Ids of the requests that it adopted.
  std::vector<std::string> adopted;

  bool operator==(const handover_outcome&) const = default;
};

/// Hands the requests of a draining node over to the first of several nodes
/// that adopts any of them.
class handover_sender {
 public:
  using done_fn = std::function<void(const handover_outcome&)>;

  handover_sender(http_client& client, std::string peer_key,
                  wall_clock_fn wall_clock);

  /// Offers all of `records` to the `targets` in order, one attempt each. Calls
  /// `done` once.
  void Send(const std::vector<handover_record>& records,
            std::vector<handover_target> targets, done_fn done);

 private:
  void AttemptNext();
  void OnReply(const std::string& target, const http_result& result);

  http_client& client_;
  std::string peer_key_;
  wall_clock_fn wall_clock_;
  std::string body_;
  std::vector<std::string> offered_;
  std::vector<handover_target> targets_;
  size_t next_target_ = 0;
  done_fn done_;
  http_call_ptr call_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HANDOVER_SKYLARKCROFT_HANDOVER_SENDER_H_

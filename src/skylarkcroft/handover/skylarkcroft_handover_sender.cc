#include "skylarkcroft/handover/skylarkcroft_handover_sender.h"

#include <utility>

#include "skylarkcroft/handover/skylarkcroft_peer_signature.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kAttemptTimeout{1000};

}  // namespace

handover_sender::handover_sender(http_client& client, std::string peer_key,
                                 wall_clock_fn wall_clock)
    : client_(client),
      peer_key_(std::move(peer_key)),
      wall_clock_(std::move(wall_clock)) {}

void handover_sender::Send(const std::vector<handover_record>& records,
                           std::vector<handover_target> targets, done_fn done) {
  body_ = EncodeHandover(records);
  offered_.clear();
  for (const handover_record& record : records) {
    offered_.push_back(record.id);
  }
  targets_ = std::move(targets);
  next_target_ = 0;
  done_ = std::move(done);
  AttemptNext();
}

void handover_sender::AttemptNext() {
  if (next_target_ >= targets_.size()) {
    const done_fn done = std::move(done_);
    done({});
    return;
  }
  const handover_target target = targets_[next_target_++];
  http_request request;
  request.method = "POST";
  request.target = "/peer/handover";
  request.headers.Add(kPeerSignatureHeader,
                      SignForPeer(peer_key_, body_, wall_clock_()));
  request.body = body_;
  http_call_options options;
  options.progress_timeout = kAttemptTimeout;
  options.reuse_connection = false;
  call_ = client_.Send(target.address, request, options,
                       {{}, {}, [this, target](const http_result& result) {
                          OnReply(target.name, result);
                        }});
}

void handover_sender::OnReply(const std::string& target,
                              const http_result& result) {
  std::vector<std::string> adopted;
  if (result.Ok()) {
    adopted = DecodeAdopted(result.response.body, offered_);
  }
  if (adopted.empty()) {
    AttemptNext();
    return;
  }
  const done_fn done = std::move(done_);
  done({target, std::move(adopted)});
}

}  // namespace skylarkcroft

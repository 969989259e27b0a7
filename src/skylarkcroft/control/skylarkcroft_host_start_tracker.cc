#include "skylarkcroft/control/skylarkcroft_host_start_tracker.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

host_offer OfferOf(const start_request& request) {
  return {request.availability_zone, request.machine_class,
          request.reclaimable};
}

}  // namespace

host_start_tracker::host_start_tracker(std::string pool_name,
                                       std::string token_prefix)
    : pool_name_(std::move(pool_name)),
      token_prefix_(std::move(token_prefix)) {}

start_request host_start_tracker::BeginStart(const host_offer& offer) {
  start_request request;
  request.client_token = token_prefix_ + "-" + std::to_string(next_number_++);
  request.pool = pool_name_;
  request.availability_zone = offer.availability_zone;
  request.machine_class = offer.machine_class;
  request.reclaimable = offer.reclaimable;
  pending_.emplace(request.client_token, request);
  return request;
}

void host_start_tracker::EndStart(const std::string& client_token,
                                  start_outcome outcome, time_point now) {
  const auto found = pending_.find(client_token);
  if (found == pending_.end() || outcome == start_outcome::kUnknown) {
    return;
  }
  const host_offer offer = OfferOf(found->second);
  pending_.erase(found);
  if (outcome == start_outcome::kStarted) {
    refusals_.erase(offer);
    return;
  }
  refusal& entry = refusals_[offer];
  entry.backoff = entry.backoff.count() == 0
                      ? kInitialBackoff
                      : std::min(kMaxBackoff, 2 * entry.backoff);
  entry.until = now + entry.backoff;
}

void host_start_tracker::OnHostsListed(const std::vector<cloud_host>& hosts) {
  for (const cloud_host& host : hosts) {
    pending_.erase(host.client_token);
  }
}

std::vector<start_request> host_start_tracker::PendingStarts() const {
  std::vector<start_request> requests;
  requests.reserve(pending_.size());
  for (const auto& [token, request] : pending_) {
    requests.push_back(request);
  }
  return requests;
}

offer_counts host_start_tracker::PendingCounts() const {
  offer_counts counts;
  for (const auto& [token, request] : pending_) {
    ++counts[OfferOf(request)];
  }
  return counts;
}

bool host_start_tracker::IsAvailable(const host_offer& offer,
                                     time_point now) const {
  const auto found = refusals_.find(offer);
  return found == refusals_.end() || now >= found->second.until;
}

}  // namespace skylarkcroft

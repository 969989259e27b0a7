#include "skylarkcroft/control/skylarkcroft_start_ledger.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

host_offer OfferOf(const start_request& request) {
  return {request.availability_zone, request.machine_class,
          request.reclaimable};
}

}  // namespace

start_ledger::start_ledger(std::string pool_name, std::string token_prefix)
    : pool_name_(std::move(pool_name)),
      token_prefix_(std::move(token_prefix)) {}

start_request start_ledger::Begin(const host_offer& offer) {
  start_request request;
  request.client_token = token_prefix_ + "-" + std::to_string(next_++);
  request.pool = pool_name_;
  request.availability_zone = offer.availability_zone;
  request.machine_class = offer.machine_class;
  request.reclaimable = offer.reclaimable;
  open_.emplace(request.client_token, request);
  return request;
}

void start_ledger::End(const std::string& client_token, start_outcome outcome,
                       time_point now) {
  const auto found = open_.find(client_token);
  if (found == open_.end() || outcome == start_outcome::kUnknown) {
    return;
  }
  const host_offer offer = OfferOf(found->second);
  open_.erase(found);
  if (outcome == start_outcome::kStarted) {
    refused_.erase(offer);
    return;
  }
  refusal& noted = refused_[offer];
  noted.backoff = noted.backoff.count() == 0
                      ? kFirstBackoff
                      : std::min(kLongestBackoff, 2 * noted.backoff);
  noted.until = now + noted.backoff;
}

void start_ledger::NoteListed(const std::vector<cloud_host>& hosts) {
  for (const cloud_host& host : hosts) {
    open_.erase(host.client_token);
  }
}

std::vector<start_request> start_ledger::Open() const {
  std::vector<start_request> requests;
  requests.reserve(open_.size());
  for (const auto& [token, request] : open_) {
    requests.push_back(request);
  }
  return requests;
}

offer_counts start_ledger::OpenCounts() const {
  offer_counts counts;
  for (const auto& [token, request] : open_) {
    ++counts[OfferOf(request)];
  }
  return counts;
}

bool start_ledger::Available(const host_offer& offer, time_point now) const {
  const auto found = refused_.find(offer);
  return found == refused_.end() || now >= found->second.until;
}

}  // namespace skylarkcroft

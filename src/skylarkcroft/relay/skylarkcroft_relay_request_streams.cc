// What a request does to keep the events of a stream to one software version.
#include <algorithm>
#include <memory>
#include <string>

#include "skylarkcroft/relay/skylarkcroft_relay_request.h"

namespace skylarkcroft {
namespace {

// A client may send its last attempt when its time is nearly over.
constexpr milliseconds kTakeUpMargin{5000};

}  // namespace

bool relay_request::IsTakeUp() const {
  const http_headers& headers = request_.head.headers;
  return gate_.route->resumable &&
         (headers.Has(environment_.names.last_event_id) ||
          headers.Has(environment_.names.resumes));
}

std::string relay_request::StreamId() const {
  return IsTakeUp() && !record_.resumes.empty() ? record_.resumes : request_id_;
}

void relay_request::SearchOrigin() {
  stream_versions* streams = environment_.streams;
  if (streams == nullptr) {
    OnOriginSearched({});
    return;
  }
  const std::optional<stream_origin> known =
      streams->Find(record_.resumes, environment_.clock());
  if (known.has_value()) {
    OnOriginSearched({known, true});
    return;
  }
  streams->Search(
      record_.resumes, service_name_,
      [this, alive = std::weak_ptr<bool>(alive_)](const origin_search& search) {
        if (!alive.expired() && !ended_) {
          OnOriginSearched(search);
        }
      });
}

void relay_request::OnOriginSearched(const origin_search& search) {
  const relay_parameters& parameters = environment_.parameters;
  if (!search.origin.has_value() && !search.store_responded) {
    EndWithError(final_response::kNotExecuted, "version_not_readable",
                 parameters.other_node_retry);
    return;
  }
  if (!search.origin.has_value()) {
    // No other node knows more.
    EndWithError(final_response::kNotExecuted, "version_unknown",
                 parameters.no_upstream_retry);
    return;
  }
  const std::vector<weighted_service>& services = gate_.route->services;
  const bool is_routed = std::any_of(
      services.begin(), services.end(), [&](const weighted_service& service) {
        return service.service == search.origin->service;
      });
  if (!is_routed) {
    EndWithError(final_response::kNotExecuted, "version_unavailable",
                 parameters.no_upstream_retry);
    return;
  }
  origin_ = search.origin;
  if (service_name_ != origin_->service) {
    SetService(origin_->service);
  }
  StartNextAttempt();
}

bool relay_request::MayServe(const upstream_entry& upstream,
                             time_point now) const {
  return !gate_.route->resumable ||
         MayServeStream(origin_, upstream, environment_.streams, now);
}

void relay_request::RecordStreamBegun() {
  if (!gate_.route->resumable) {
    return;
  }
  const upstream_entry& upstream = attempt_->placed.upstream;
  if (!origin_.has_value()) {
    origin_ = stream_origin{upstream.service, upstream.version};
  }
  if (environment_.streams != nullptr) {
    const milliseconds life =
        std::min(std::max(stated_time_, record_.time_given) + kTakeUpMargin,
                 kMaxStreamLife);
    environment_.streams->OnBegun(
        StreamId(), *origin_, request_.arrived_at + life, environment_.clock());
  }
}

}  // namespace skylarkcroft

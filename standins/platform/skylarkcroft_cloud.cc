#include "standins/platform/skylarkcroft_cloud.h"

#include <algorithm>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft::standin {
namespace {

constexpr uint16_t kHostPort = 9;
constexpr size_t kHostsPerByte = 250;

machine_offer OfferOf(const cloud_host& host) {
  return {host.availability_zone, host.machine_class, host.reclaimable};
}

void CheckSameRequest(const start_request& request, const cloud_host& host) {
  const start_request first{host.client_token, host.pool,
                            host.availability_zone, host.machine_class,
                            host.reclaimable};
  if (request != first) {
    throw config_error("$.client_token", "was used for another request",
                       "use a new token for each host");
  }
}

}  // namespace

cloud_host cloud_machine::At(time_point now) const {
  cloud_host shown = host;
  if (ends_at.has_value() && *ends_at <= now) {
    shown.state = cloud_host_state::kEnded;
  } else {
    shown.state = runs_at <= now ? cloud_host_state::kRunning
                                 : cloud_host_state::kStarting;
  }
  return shown;
}

void cloud::SetPrices(std::vector<machine_price> prices) {
  prices_ = std::move(prices);
}

void cloud::SetCapacity(const machine_offer& offer, int64_t available) {
  capacity_[offer] = available;
}

void cloud::AddAddresses(const std::string& availability_zone,
                         const std::vector<endpoint>& addresses) {
  std::deque<endpoint>& free = addresses_[availability_zone];
  free.insert(free.end(), addresses.begin(), addresses.end());
}

cloud_start cloud::Start(const start_request& request, time_point now) {
  const cloud_machine* earlier = FindByToken(request);
  if (earlier != nullptr) {
    return {earlier, false};
  }
  cloud_host host;
  host.pool = request.pool;
  host.availability_zone = request.availability_zone;
  host.machine_class = request.machine_class;
  host.reclaimable = request.reclaimable;
  host.client_token = request.client_token;
  if (!TakeCapacity(OfferOf(host))) {
    return {};
  }
  host.id = "host-" + std::to_string(machines_.size() + 1);
  host.address = NextAddress(host.availability_zone);
  machines_.push_back({host, now + start_delay_, std::nullopt});
  return {&machines_.back(), true};
}

bool cloud::End(const std::string& id, time_point now) {
  cloud_machine* machine = FindMutable(id);
  if (machine == nullptr) {
    return false;
  }
  if (machine->ends_at.has_value() && *machine->ends_at <= now) {
    return true;
  }
  const auto left = capacity_.find(OfferOf(machine->host));
  if (left != capacity_.end() && !machine->ends_at.has_value()) {
    ++left->second;
  }
  machine->ends_at = now;
  return true;
}

void cloud::Reclaim(const std::string& id, time_point at) {
  cloud_machine* machine = FindMutable(id);
  if (machine == nullptr) {
    return;
  }
  machine->ends_at = std::min(machine->ends_at.value_or(at), at);
}

const cloud_machine* cloud::Find(const std::string& id) const {
  for (const cloud_machine& machine : machines_) {
    if (machine.host.id == id) {
      return &machine;
    }
  }
  return nullptr;
}

const cloud_machine* cloud::FindByToken(const start_request& request) const {
  for (const cloud_machine& machine : machines_) {
    if (machine.host.client_token != request.client_token) {
      continue;
    }
    CheckSameRequest(request, machine.host);
    return &machine;
  }
  return nullptr;
}

bool cloud::TakeCapacity(const machine_offer& offer) {
  const auto left = capacity_.find(offer);
  if (left == capacity_.end()) {
    return true;
  }
  if (left->second <= 0) {
    return false;
  }
  --left->second;
  return true;
}

cloud_machine* cloud::FindMutable(const std::string& id) {
  return const_cast<cloud_machine*>(std::as_const(*this).Find(id));
}

std::vector<cloud_host> cloud::Hosts(time_point now) const {
  std::vector<cloud_host> hosts;
  hosts.reserve(machines_.size());
  for (const cloud_machine& machine : machines_) {
    hosts.push_back(machine.At(now));
  }
  return hosts;
}

endpoint cloud::NextAddress(const std::string& availability_zone) {
  std::deque<endpoint>& free = addresses_[availability_zone];
  if (free.empty()) {
    const size_t serial = machines_.size();
    return {"127.1." + std::to_string(serial / kHostsPerByte) + "." +
                std::to_string(serial % kHostsPerByte + 1),
            kHostPort};
  }
  endpoint address = free.front();
  free.pop_front();
  return address;
}

}  // namespace skylarkcroft::standin

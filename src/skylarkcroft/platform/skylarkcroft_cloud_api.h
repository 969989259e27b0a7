#ifndef SKYLARKCROFT_PLATFORM_SKYLARKCROFT_CLOUD_API_H_
#define SKYLARKCROFT_PLATFORM_SKYLARKCROFT_CLOUD_API_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class http_client;

/// Prices per hour of one machine class in one availability zone.
struct machine_price {
  std::string availability_zone;
  std::string machine_class;
  double reclaimable = 0;
  double on_demand = 0;

  bool operator==(const machine_price&) const = default;
};

/// What kind of host is to be started. The same `client_token` never starts a
/// second host.
struct start_request {
  std::string client_token;
  std::string pool;
  std::string availability_zone;
  std::string machine_class;
  bool reclaimable = true;

  bool operator==(const start_request&) const = default;
};

enum class cloud_host_state { kStarting, kRunning, kEnded };

/// A host that was started through the cloud API.
struct cloud_host {
  std::string id;
  std::string pool;
  endpoint address;
  std::string availability_zone;
  std::string machine_class;
  bool reclaimable = true;
  cloud_host_state state = cloud_host_state::kStarting;
  std::string client_token;

  bool operator==(const cloud_host&) const = default;
};

/// The cloud takes a host back at `reclaim_at_ms`, in milliseconds since the
/// Unix epoch.
struct reclaim_notice {
  int64_t seq = 0;
  std::string host_id;
  endpoint address;
  std::string availability_zone;
  int64_t reclaim_at_ms = 0;

  bool operator==(const reclaim_notice&) const = default;
};

enum class start_outcome {
  kStarted,     ///< `host` is the host that has this client token.
  kNoCapacity,  ///< Refused for want of capacity; no host was started.
  kRejected,    ///< Not sent, or refused by rate or as invalid; no host was
                ///< started.
  kUnknown,     ///< No answer; a host may have been started. Repeat with the
                ///< same client token.
};

struct start_result {
  start_outcome outcome = start_outcome::kUnknown;
  cloud_host host;

  bool operator==(const start_result&) const = default;
};

enum class end_outcome {
  kEnded,
  kMissing,   ///< There is no such host.
  kRejected,  ///< Not sent, or refused by rate; the host goes on.
  kUnknown,   ///< No answer; the host may have been ended.
};

struct prices_result {
  bool available = false;
  std::vector<machine_price> prices;

  bool operator==(const prices_result&) const = default;
};

struct cloud_hosts_result {
  bool available = false;
  std::vector<cloud_host> hosts;

  bool operator==(const cloud_hosts_result&) const = default;
};

struct notices_result {
  bool available = false;
  std::vector<reclaim_notice> notices;

  bool operator==(const notices_result&) const = default;
};

using prices_done_fn = std::function<void(const prices_result&)>;
using start_done_fn = std::function<void(const start_result&)>;
using end_done_fn = std::function<void(end_outcome)>;
using cloud_hosts_done_fn = std::function<void(const cloud_hosts_result&)>;
using notices_done_fn = std::function<void(const notices_result&)>;

/// The cloud's API for hosts. Calls never answer from inside themselves.
class cloud_api {
 public:
  virtual ~cloud_api() = default;

  virtual void Prices(prices_done_fn done) = 0;
  virtual void StartHost(const start_request& request, start_done_fn done) = 0;
  virtual void EndHost(const std::string& id, end_done_fn done) = 0;
  virtual void ListHosts(cloud_hosts_done_fn done) = 0;
  /// Notices with a `seq` above `after_seq`, in ascending order.
  virtual void Notices(int64_t after_seq, notices_done_fn done) = 0;
};

/// cloud_api over the wire protocol of docs/platform-protocol.md.
std::unique_ptr<cloud_api> MakeCloudApiClient(http_client& client,
                                              const endpoint& address,
                                              milliseconds timeout);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLATFORM_SKYLARKCROFT_CLOUD_API_H_

#ifndef SKYLARKCROFT_PLATFORM_SKYLARKCROFT_HOST_LIST_H_
#define SKYLARKCROFT_PLATFORM_SKYLARKCROFT_HOST_LIST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class http_client;

enum class host_kind { kNode, kUpstream };

enum class host_state { kLive, kLeaving };

/// A host as the platform lists it. `incarnation` rises with every start of
/// the host; `pool` is empty for a node.
struct listed_host {
  std::string id;
  host_kind kind = host_kind::kUpstream;
  std::string pool;
  endpoint address;
  std::string availability_zone;
  int64_t incarnation = 0;
  host_state state = host_state::kLive;

  bool operator==(const listed_host&) const = default;
};

/// `version` rises with every change of the list.
struct host_list_result {
  bool available = false;
  int64_t version = 0;
  std::vector<listed_host> hosts;

  bool operator==(const host_list_result&) const = default;
};

using host_list_done_fn = std::function<void(const host_list_result&)>;

/// The platform's list of live and leaving hosts, which lags behind the truth.
class host_list {
 public:
  virtual ~host_list() = default;

  /// Never answers from inside itself.
  virtual void Fetch(host_list_done_fn done) = 0;
};

/// host_list over the wire protocol of docs/platform-protocol.md.
std::unique_ptr<host_list> MakeHostListClient(http_client& client,
                                              const endpoint& address,
                                              milliseconds timeout);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLATFORM_SKYLARKCROFT_HOST_LIST_H_

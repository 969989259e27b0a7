#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_REQUEST_REGISTRY_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_REQUEST_REGISTRY_H_

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/node/skylarkcroft_answer_writer.h"
#include "skylarkcroft/node/skylarkcroft_request_run.h"

namespace skylarkcroft {

/// A request this node knows: its run while there is one, and its answer.
struct request_entry {
  std::string id;
  /// As charged to the caller's limits.
  int64_t estimated_tokens = 0;
  /// Whether it counts against the caller's limits on this node.
  bool charged = false;
  std::string caller_name;
  std::string route_name;
  std::string pool_name;
  rank work_rank = rank::kNormal;
  bool idempotent = false;
  answer_form form;
  time_point arrived{};
  std::shared_ptr<buffered_response> result;
  std::unique_ptr<request_run> run;
  /// True for a run whose outcome is recorded instead of being read here.
  bool deferred = false;
  /// True once another node has taken the request over.
  bool moved = false;
  /// When the answer ended, or when the last reader left.
  time_point unread_since{};
};

/// The requests of this node by id, running and lately ended.
class request_registry {
 public:
  /// The entry stays until it is removed or expires.
  request_entry& Add(request_entry entry);
  /// Null when there is no such request.
  request_entry* Find(const std::string& id);
  void Remove(const std::string& id);

  /// Removes ended entries that have been unread for `retention`.
  void DropExpired(time_point now, duration retention);
  /// Ids of running idempotent requests that nobody has read for `limit`.
  [[nodiscard]] std::vector<std::string> Abandoned(time_point now,
                                                   duration limit) const;
  /// Requests whose answer has not ended.
  [[nodiscard]] size_t active() const;
  /// Those of them that are not deferred.
  [[nodiscard]] size_t active_read() const;
  [[nodiscard]] const std::unordered_map<std::string, request_entry>& entries()
      const {
    return entries_;
  }

 private:
  std::unordered_map<std::string, request_entry> entries_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_REQUEST_REGISTRY_H_

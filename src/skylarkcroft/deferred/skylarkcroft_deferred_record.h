#ifndef SKYLARKCROFT_DEFERRED_SKYLARKCROFT_DEFERRED_RECORD_H_
#define SKYLARKCROFT_DEFERRED_SKYLARKCROFT_DEFERRED_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

/// Number of store partitions that hold the open deferred requests.
inline constexpr size_t kDeferredShards = 16;

/// An open deferred request: no outcome is recorded yet.
struct deferred_request {
  std::string id;
  std::string caller_name;
  std::string route_name;
  /// Method, target, Idempotency-Key and body as the client sent them.
  http_request original;
  /// Wall-clock time in milliseconds since the Unix epoch.
  int64_t deadline_ms = 0;
  /// The worker that runs the request, `NODE.INCARNATION`.
  std::string worker;

  bool operator==(const deferred_request&) const = default;
};

/// The recorded outcome of a deferred request: the response for the client,
/// which is a problem document when the request failed.
struct deferred_outcome {
  std::string id;
  std::string caller_name;
  http_response response;

  bool operator==(const deferred_outcome&) const = default;
};

/// True for ids made by MakeDeferredId.
bool IsDeferredId(const std::string& request_id);
/// Id of a deferred request accepted by `owner` (`NODE.INCARNATION`); `number`
/// is unique for the owner.
std::string MakeDeferredId(const std::string& owner, uint64_t number);

/// The shards that rendezvous hashing over `nodes` assigns to `node`.
std::vector<size_t> ShardsOf(const std::string& node,
                             const std::vector<std::string>& nodes);

/// Shard of an id, below kDeferredShards.
size_t ShardOf(const std::string& id);
/// Partition of the open requests of `shard`.
std::string OpenRequestsPartition(size_t shard);
/// Row of the open request `id`.
row_key OpenRequestKey(const std::string& id);
/// Row of the recorded outcome of request `id`.
row_key OutcomeKey(const std::string& id);
/// Row that holds the heartbeats of `worker`.
row_key WorkerKey(const std::string& worker);

std::string EncodeDeferred(const deferred_request& request);
/// Empty when `document` is not an encoded request.
std::optional<deferred_request> DecodeDeferred(const std::string& document);
std::string EncodeOutcome(const deferred_outcome& outcome);
/// Empty when `document` is not an encoded outcome.
std::optional<deferred_outcome> DecodeOutcome(const std::string& document);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DEFERRED_SKYLARKCROFT_DEFERRED_RECORD_H_

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

/// Partitions over which open deferred requests are spread.
inline constexpr size_t kDeferredShards = 16;

/// A deferred request that has no recorded outcome yet.
struct deferred_request {
  std::string id;
  std::string caller_name;
  std::string route_name;
  /// Method, target, Idempotency-Key and body as the caller sent them.
  http_request original;
  /// Wall clock, milliseconds since the Unix epoch.
  int64_t deadline_ms = 0;
  /// Worker that runs it.
  std::string worker;

  bool operator==(const deferred_request&) const = default;
};

/// The recorded outcome of a deferred request: the response that its caller
/// gets, which is a problem document when it failed.
struct deferred_outcome {
  std::string id;
  std::string caller_name;
  http_response response;

  bool operator==(const deferred_outcome&) const = default;
};

/// True for the ids that MakeDeferredId gives out.
bool IsDeferredId(const std::string& request_id);
/// `owner` is `NODE.INCARNATION`.
std::string MakeDeferredId(const std::string& owner, uint64_t number);

/// The shards that `node` looks after among `nodes`, by rendezvous hashing.
std::vector<size_t> ShardsOf(const std::string& node,
                             const std::vector<std::string>& nodes);

/// Shard of an id, below kDeferredShards.
size_t ShardOf(const std::string& id);
std::string OpenPartition(size_t shard);
row_key OpenKey(const std::string& id);
row_key OutcomeKey(const std::string& id);
row_key WorkerKey(const std::string& worker);

std::string EncodeDeferred(const deferred_request& request);
std::optional<deferred_request> DecodeDeferred(const std::string& document);
std::string EncodeOutcome(const deferred_outcome& outcome);
std::optional<deferred_outcome> DecodeOutcome(const std::string& document);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DEFERRED_SKYLARKCROFT_DEFERRED_RECORD_H_

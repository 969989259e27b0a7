#ifndef SKYLARKCROFT_ROUTING_SKYLARKCROFT_PREFIX_TRACKER_H_
#define SKYLARKCROFT_ROUTING_SKYLARKCROFT_PREFIX_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>

#include "skylarkcroft/routing/skylarkcroft_prompt_prefix.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_key.h"

namespace skylarkcroft {

/// Estimates which prompt prefixes each upstream has cached, from the requests
/// that this node sent and the upstreams' cache events. Events arrive late and
/// with gaps, so an estimate may be wrong; a wrong one only costs an additional
/// prefill.
class prefix_tracker {
 public:
  /// `max_blocks` is the most blocks tracked for one upstream.
  explicit prefix_tracker(size_t max_blocks);

  /// Records that a prompt was sent to `target`, which will cache its blocks.
  void RecordSent(const upstream_key& target, const prompt_prefix& prefix);
  void RecordStored(const upstream_key& target, uint64_t block_hash);
  void RecordEvicted(const upstream_key& target, uint64_t block_hash);
  /// Records that `count` cache events were lost. Each may have been an
  /// eviction, and engines evict the least recently used block first, so the
  /// `count` least recently used blocks are dropped.
  void RecordLostEvents(const upstream_key& target, int64_t count);
  /// Drops everything tracked for an upstream that was removed or lost its
  /// cache.
  void Forget(const upstream_key& target);

  /// Prompt tokens that `target` is expected to have cached, in whole blocks
  /// from the start of the prompt.
  [[nodiscard]] int64_t CachedTokens(const upstream_key& target,
                                     const prompt_prefix& prefix) const;

 private:
  // Tracked blocks of one upstream; `recency` has the most recently used block
  // first.
  struct block_set {
    std::list<uint64_t> recency;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> positions;
  };

  void Touch(block_set& blocks, uint64_t block_hash);

  size_t max_blocks_;
  std::map<upstream_key, block_set> upstreams_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_PREFIX_TRACKER_H_

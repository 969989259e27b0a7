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

/// Which prompt prefixes each upstream is believed to have cached. Learns from
/// what this node sent and from the upstreams' cache events; since events come
/// late and with gaps, a belief may be wrong, and only costs a prefill then.
class prefix_tracker {
 public:
  /// `max_blocks` bounds the blocks remembered for one upstream.
  explicit prefix_tracker(size_t max_blocks);

  /// Notes that a prompt was sent, so that its blocks will be cached.
  void NoteSent(const upstream_key& target, const prompt_prefix& prefix);
  void NoteStored(const upstream_key& target, uint64_t block_hash);
  void NoteEvicted(const upstream_key& target, uint64_t block_hash);
  /// Notes that `count` cache events were lost. Each may have been an eviction,
  /// and an engine evicts what it used longest ago, so as many blocks, the
  /// least recently used, are believed no longer.
  void NoteLost(const upstream_key& target, int64_t count);
  /// Forgets an upstream that has left or lost its cache.
  void Forget(const upstream_key& target);

  /// Tokens of the prompt that `target` need not compute again.
  [[nodiscard]] int64_t CachedTokens(const upstream_key& target,
                                     const prompt_prefix& prefix) const;

 private:
  // Least recently used last.
  struct block_set {
    std::list<uint64_t> order;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> places;
  };

  void Touch(block_set& blocks, uint64_t block_hash);

  size_t max_blocks_;
  std::map<upstream_key, block_set> upstreams_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_PREFIX_TRACKER_H_

#include "skylarkcroft/routing/skylarkcroft_prefix_tracker.h"

namespace skylarkcroft {

prefix_tracker::prefix_tracker(size_t max_blocks) : max_blocks_(max_blocks) {}

void prefix_tracker::Touch(block_set& blocks, uint64_t block_hash) {
  const auto found = blocks.positions.find(block_hash);
  if (found != blocks.positions.end()) {
    blocks.recency.splice(blocks.recency.begin(), blocks.recency,
                          found->second);
    return;
  }
  blocks.recency.push_front(block_hash);
  blocks.positions.emplace(block_hash, blocks.recency.begin());
  if (blocks.recency.size() > max_blocks_) {
    blocks.positions.erase(blocks.recency.back());
    blocks.recency.pop_back();
  }
}

void prefix_tracker::RecordSent(const upstream_key& target,
                                const prompt_prefix& prefix) {
  block_set& blocks = upstreams_[target];
  // Goes from the last block to the first, so that the beginning of the prompt,
  // which other prompts may share, becomes the most recently used.
  for (auto hash = prefix.block_hashes.rbegin();
       hash != prefix.block_hashes.rend(); ++hash) {
    Touch(blocks, *hash);
  }
}

void prefix_tracker::RecordStored(const upstream_key& target,
                                  uint64_t block_hash) {
  Touch(upstreams_[target], block_hash);
}

void prefix_tracker::RecordEvicted(const upstream_key& target,
                                   uint64_t block_hash) {
  const auto owner = upstreams_.find(target);
  if (owner == upstreams_.end()) {
    return;
  }
  block_set& blocks = owner->second;
  const auto found = blocks.positions.find(block_hash);
  if (found == blocks.positions.end()) {
    return;
  }
  blocks.recency.erase(found->second);
  blocks.positions.erase(found);
}

void prefix_tracker::RecordLostEvents(const upstream_key& target,
                                      int64_t count) {
  const auto owner = upstreams_.find(target);
  if (owner == upstreams_.end()) {
    return;
  }
  block_set& blocks = owner->second;
  for (int64_t lost = 0; lost < count && !blocks.recency.empty(); ++lost) {
    blocks.positions.erase(blocks.recency.back());
    blocks.recency.pop_back();
  }
}

void prefix_tracker::Forget(const upstream_key& target) {
  upstreams_.erase(target);
}

int64_t prefix_tracker::CachedTokens(const upstream_key& target,
                                     const prompt_prefix& prefix) const {
  const auto owner = upstreams_.find(target);
  if (owner == upstreams_.end()) {
    return 0;
  }
  int64_t tokens = 0;
  for (const uint64_t hash : prefix.block_hashes) {
    if (owner->second.positions.count(hash) == 0) {
      break;
    }
    tokens += kPrefixBlockTokens;
  }
  return tokens;
}

}  // namespace skylarkcroft

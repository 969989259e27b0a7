#include "skylarkcroft/routing/skylarkcroft_prefix_tracker.h"

namespace skylarkcroft {

prefix_tracker::prefix_tracker(size_t max_blocks) : max_blocks_(max_blocks) {}

void prefix_tracker::Touch(block_set& blocks, uint64_t block_hash) {
  const auto found = blocks.places.find(block_hash);
  if (found != blocks.places.end()) {
    blocks.order.splice(blocks.order.begin(), blocks.order, found->second);
    return;
  }
  blocks.order.push_front(block_hash);
  blocks.places.emplace(block_hash, blocks.order.begin());
  if (blocks.order.size() > max_blocks_) {
    blocks.places.erase(blocks.order.back());
    blocks.order.pop_back();
  }
}

void prefix_tracker::NoteSent(const upstream_key& target,
                              const prompt_prefix& prefix) {
  block_set& blocks = upstreams_[target];
  // The last block first, so that the shared beginning is the most recent.
  for (auto hash = prefix.block_hashes.rbegin();
       hash != prefix.block_hashes.rend(); ++hash) {
    Touch(blocks, *hash);
  }
}

void prefix_tracker::NoteStored(const upstream_key& target,
                                uint64_t block_hash) {
  Touch(upstreams_[target], block_hash);
}

void prefix_tracker::NoteEvicted(const upstream_key& target,
                                 uint64_t block_hash) {
  const auto owner = upstreams_.find(target);
  if (owner == upstreams_.end()) {
    return;
  }
  block_set& blocks = owner->second;
  const auto found = blocks.places.find(block_hash);
  if (found == blocks.places.end()) {
    return;
  }
  blocks.order.erase(found->second);
  blocks.places.erase(found);
}

void prefix_tracker::NoteLost(const upstream_key& target, int64_t count) {
  const auto owner = upstreams_.find(target);
  if (owner == upstreams_.end()) {
    return;
  }
  block_set& blocks = owner->second;
  for (int64_t lost = 0; lost < count && !blocks.order.empty(); ++lost) {
    blocks.places.erase(blocks.order.back());
    blocks.order.pop_back();
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
    if (owner->second.places.count(hash) == 0) {
      break;
    }
    tokens += kPrefixBlockTokens;
  }
  return tokens;
}

}  // namespace skylarkcroft

#include "standins/engine/prefix_cache.h"

#include <algorithm>

namespace skylarkcroft::standin {

int64_t prefix_cache::Use(const prompt_blocks& prompt) {
  size_t cached = 0;
  for (const uint64_t hash : prompt.prefix_hashes) {
    if (blocks_.count(hash) == 0) {
      break;
    }
    ++cached;
  }
  Touch(prompt, cached);
  return static_cast<int64_t>(cached) * kBlockTokens;
}

std::vector<cache_change> prefix_cache::Store(const prompt_blocks& prompt) {
  std::vector<cache_change> changes;
  const size_t count = std::min(prompt.prefix_hashes.size(),
                                static_cast<size_t>(capacity_blocks_));
  for (size_t i = 0; i < count; ++i) {
    const uint64_t hash = prompt.prefix_hashes[i];
    if (blocks_.count(hash) != 0) {
      continue;
    }
    const int64_t tokens = static_cast<int64_t>(i + 1) * kBlockTokens;
    order_.push_front({hash, tokens});
    blocks_[hash] = order_.begin();
    changes.push_back({cache_change_kind::kStored, hash, tokens});
  }
  Touch(prompt, count);
  while (order_.size() > static_cast<size_t>(capacity_blocks_)) {
    const block& oldest = order_.back();
    changes.push_back(
        {cache_change_kind::kEvicted, oldest.prefix_hash, oldest.tokens});
    blocks_.erase(oldest.prefix_hash);
    order_.pop_back();
  }
  return changes;
}

void prefix_cache::Touch(const prompt_blocks& prompt, size_t count) {
  for (size_t i = count; i > 0; --i) {
    const auto found = blocks_.find(prompt.prefix_hashes[i - 1]);
    order_.splice(order_.begin(), order_, found->second);
  }
}

}  // namespace skylarkcroft::standin

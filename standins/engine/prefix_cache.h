#ifndef SKYLARKCROFT_STANDINS_ENGINE_PREFIX_CACHE_H_
#define SKYLARKCROFT_STANDINS_ENGINE_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "standins/engine/prompt_blocks.h"

namespace skylarkcroft::standin {

enum class cache_change_kind { kStored, kEvicted };

/// One block that entered or left the prefix cache.
struct cache_change {
  cache_change_kind kind = cache_change_kind::kStored;
  uint64_t prefix_hash = 0;
  /// Length of the prefix that ends with the block.
  int64_t tokens = 0;

  bool operator==(const cache_change&) const = default;
};

/// Prefix cache of limited size; evicts the least recently used block, and of
/// one prompt the last block first.
class prefix_cache {
 public:
  explicit prefix_cache(int64_t capacity_tokens)
      : capacity_blocks_(capacity_tokens / kBlockTokens) {}

  /// Tokens of the longest cached prefix, which becomes the most recently used.
  int64_t Use(const prompt_blocks& prompt);
  /// Stores the prompt's blocks, as far as the capacity goes, and returns what
  /// changed, in order.
  std::vector<cache_change> Store(const prompt_blocks& prompt);
  [[nodiscard]] int64_t used_tokens() const {
    return static_cast<int64_t>(blocks_.size()) * kBlockTokens;
  }

 private:
  struct block {
    uint64_t prefix_hash;
    int64_t tokens;
  };
  using block_list = std::list<block>;

  /// Makes the first `count` blocks the most recently used, the first of all
  /// foremost.
  void Touch(const prompt_blocks& prompt, size_t count);

  int64_t capacity_blocks_;
  /// Most recently used first.
  block_list order_;
  std::unordered_map<uint64_t, block_list::iterator> blocks_;
};

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_ENGINE_PREFIX_CACHE_H_

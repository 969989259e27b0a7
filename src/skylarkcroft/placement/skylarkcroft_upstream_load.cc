#include "skylarkcroft/placement/skylarkcroft_upstream_load.h"

#include <xxhash.h>

namespace skylarkcroft {

void AddLoad(const upstream_load& part, upstream_load& sum) {
  sum.running += part.running;
  sum.kv_cache_tokens += part.kv_cache_tokens;
  for (size_t i = 0; i < part.prefill_tokens.size(); ++i) {
    sum.prefill_tokens[i] += part.prefill_tokens[i];
  }
}

void SubtractLoad(const upstream_load& part, upstream_load& sum) {
  sum.running -= part.running;
  sum.kv_cache_tokens -= part.kv_cache_tokens;
  for (size_t i = 0; i < part.prefill_tokens.size(); ++i) {
    sum.prefill_tokens[i] -= part.prefill_tokens[i];
  }
}

int64_t PrefillTokensAhead(const upstream_load& load, int urgency) {
  int64_t ahead = 0;
  for (int i = 0; i <= urgency; ++i) {
    ahead += load.prefill_tokens[static_cast<size_t>(i)];
  }
  return ahead;
}

uint32_t UpstreamKey(const std::string& id) {
  constexpr uint64_t kSeed = 0;
  return XXH32(id.data(), id.size(), kSeed);
}

}  // namespace skylarkcroft

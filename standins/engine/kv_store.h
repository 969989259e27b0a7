#ifndef SKYLARKCROFT_STANDINS_ENGINE_KV_STORE_H_
#define SKYLARKCROFT_STANDINS_ENGINE_KV_STORE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace skylarkcroft::standin {

/// KV cache of a prompt and the first `tokens` tokens of its answer.
struct kv_block {
  /// CompletionSeed() of model and prompt.
  uint64_t seed = 0;
  int64_t tokens = 0;

  bool operator==(const kv_block&) const = default;
};

/// The opaque text that stands for `kv`.
std::string EncodeKv(const kv_block& kv);
/// Throws config_error when `text` did not come from EncodeKv().
kv_block DecodeKv(std::string_view text);

/// Imported KV caches by request id; only the latest are kept.
class kv_store {
 public:
  void Import(const std::string& request_id, const kv_block& kv);
  /// Takes the cache that fits the request out of the store: the tokens it
  /// covers beyond the prompt, or -1 when there is none.
  int64_t Take(const std::string& request_id, uint64_t seed);

 private:
  std::unordered_map<std::string, kv_block> imported_;
  std::deque<std::string> order_;
};

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_ENGINE_KV_STORE_H_

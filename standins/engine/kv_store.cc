#include "standins/engine/kv_store.h"

#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft::standin {
namespace {

constexpr size_t kMaxImported = 4096;

}  // namespace

std::string EncodeKv(const kv_block& kv) {
  return nlohmann::json({kv.seed, kv.tokens}).dump();
}

kv_block DecodeKv(std::string_view text) {
  const nlohmann::json parts = ParseJson(text);
  const bool valid = parts.is_array() && parts.size() == 2 &&
                     parts[0].is_number_unsigned() &&
                     parts[1].is_number_unsigned();
  if (!valid) {
    throw config_error("$.kv", "is not an exported KV cache",
                       "send the kv of an export unchanged");
  }
  return {parts[0].get<uint64_t>(), parts[1].get<int64_t>()};
}

void kv_store::Import(const std::string& request_id, const kv_block& kv) {
  if (imported_.insert_or_assign(request_id, kv).second) {
    order_.push_back(request_id);
  }
  while (order_.size() > kMaxImported) {
    imported_.erase(order_.front());
    order_.pop_front();
  }
}

int64_t kv_store::Take(const std::string& request_id, uint64_t seed) {
  const auto found = imported_.find(request_id);
  if (found == imported_.end() || found->second.seed != seed) {
    return -1;
  }
  const int64_t tokens = found->second.tokens;
  imported_.erase(found);
  std::erase(order_, request_id);
  return tokens;
}

}  // namespace skylarkcroft::standin

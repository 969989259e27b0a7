#include "skylarkcroft/peers/skylarkcroft_datagram_fragments.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

// Tells these from other datagrams between nodes.
constexpr const char* kFormatName = "part1";
// Leaves room for the fields of the fragment and for those of a datagram that
// is passed on.
constexpr size_t kFragmentBytes = 1150;
constexpr size_t kMaxFragments =
    (kMaxFragmentedBytes + kFragmentBytes - 1) / kFragmentBytes;
// Payloads of both watching nodes and of two tables, twice.
constexpr size_t kMaxIncomplete = 8;
constexpr milliseconds kMaxAssemblyTime{2000};

struct fragment {
  uint64_t payload = 0;
  size_t index = 0;
  size_t count = 0;
  std::string bytes;
};

std::optional<fragment> Decode(std::string_view bytes) {
  const json items = DecodeBoundedCbor(bytes);
  if (!items.is_array() || items.empty() || items.front() != kFormatName) {
    return std::nullopt;
  }
  try {
    const json::binary_t& content = items.at(4).get_binary();
    fragment decoded{items.at(1).get<uint64_t>(),
                     items.at(2).get<size_t>(),
                     items.at(3).get<size_t>(),
                     {content.begin(), content.end()}};
    const bool is_valid = decoded.count > 0 && decoded.count <= kMaxFragments &&
                          decoded.index < decoded.count &&
                          !decoded.bytes.empty() &&
                          decoded.bytes.size() <= kFragmentBytes;
    return is_valid ? std::optional<fragment>(std::move(decoded))
                    : std::nullopt;
  } catch (const json::exception&) {
    // Not written by this program. The caller counts it as malformed.
    return std::nullopt;
  }
}

}  // namespace

std::vector<std::string> SplitIntoFragments(const std::string& payload) {
  if (payload.size() <= kFragmentBytes) {
    return {payload};
  }
  const uint64_t id = XXH3_64bits(payload.data(), payload.size());
  const size_t count = (payload.size() + kFragmentBytes - 1) / kFragmentBytes;
  std::vector<std::string> datagrams;
  for (size_t i = 0; i < count; ++i) {
    const std::string content =
        payload.substr(i * kFragmentBytes, kFragmentBytes);
    const std::vector<uint8_t> bytes = json::to_cbor(
        json::array({kFormatName, id, i, count,
                     json::binary({content.begin(), content.end()})}));
    datagrams.emplace_back(bytes.begin(), bytes.end());
  }
  return datagrams;
}

std::optional<std::string> fragment_assembler::Add(std::string_view bytes,
                                                   time_point now) {
  std::erase_if(payloads_, [now](const auto& entry) {
    return now - entry.second.started_at > kMaxAssemblyTime;
  });
  std::optional<fragment> added = Decode(bytes);
  if (!added.has_value()) {
    return std::nullopt;
  }
  const auto [found, inserted] = payloads_.try_emplace(added->payload);
  incomplete_payload& payload = found->second;
  if (inserted) {
    payload.fragments.resize(added->count);
    payload.missing = added->count;
    payload.started_at = now;
  }
  if (payload.fragments.size() != added->count) {
    return std::nullopt;
  }
  std::string& slot = payload.fragments[added->index];
  if (slot.empty()) {
    slot = std::move(added->bytes);
    --payload.missing;
  }
  if (payload.missing > 0) {
    if (payloads_.size() > kMaxIncomplete) {
      DropOldest();
    }
    return std::nullopt;
  }
  std::string whole;
  for (const std::string& part : payload.fragments) {
    whole += part;
  }
  payloads_.erase(found);
  return whole;
}

void fragment_assembler::DropOldest() {
  payloads_.erase(std::min_element(
      payloads_.begin(), payloads_.end(), [](const auto& a, const auto& b) {
        return a.second.started_at < b.second.started_at;
      }));
}

bool IsFragment(std::string_view bytes) { return Decode(bytes).has_value(); }

}  // namespace skylarkcroft

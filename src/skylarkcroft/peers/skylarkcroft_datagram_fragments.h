#ifndef SKYLARKCROFT_PEERS_SKYLARKCROFT_DATAGRAM_FRAGMENTS_H_
#define SKYLARKCROFT_PEERS_SKYLARKCROFT_DATAGRAM_FRAGMENTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Largest payload that is sent in fragments, in bytes.
inline constexpr size_t kMaxFragmentedBytes = 32768;

/// Splits a payload of up to kMaxFragmentedBytes into datagrams that fit into
/// one packet each; one that fits is returned as it is. The format of a
/// fragment is CBOR with positional items.
std::vector<std::string> SplitIntoFragments(const std::string& payload);

/// Puts payloads together from their fragments, which may be lost, duplicated
/// or out of order. Keeps a bounded number of incomplete payloads.
class fragment_assembler {
 public:
  /// Returns the payload that the fragment in `bytes` completes; empty if it is
  /// still incomplete or `bytes` is no fragment.
  std::optional<std::string> Add(std::string_view bytes, time_point now);
  /// Number of incomplete payloads.
  [[nodiscard]] size_t size() const { return payloads_.size(); }

 private:
  struct incomplete_payload {
    std::vector<std::string> fragments;  ///< Empty where missing.
    size_t missing = 0;
    time_point started_at{};
  };

  void DropOldest();

  std::map<uint64_t, incomplete_payload> payloads_;
};

/// Whether `bytes` is a fragment of a payload.
bool IsFragment(std::string_view bytes);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PEERS_SKYLARKCROFT_DATAGRAM_FRAGMENTS_H_

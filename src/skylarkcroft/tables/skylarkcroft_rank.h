#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_RANK_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_RANK_H_

#include <array>
#include <cstddef>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Priority class of a request; a lower value is served first.
enum class rank { kUrgent = 0, kNormal = 1, kBatch = 2 };

inline constexpr size_t kRankCount = 3;
inline constexpr std::array<rank, kRankCount> kAllRanks = {
    rank::kUrgent, rank::kNormal, rank::kBatch};

/// Index of `value` in arrays that hold one element per rank.
constexpr size_t IndexOf(rank value) { return static_cast<size_t>(value); }

/// Name in the routes table: urgent, normal or batch.
constexpr std::string_view ToString(rank value) {
  constexpr std::array<std::string_view, kRankCount> kNames = {
      "urgent", "normal", "batch"};
  return kNames[IndexOf(value)];
}

/// Latency targets, deadline and capacity share of a rank.
struct rank_policy {
  /// Time to the first token of a response.
  milliseconds first_token_target{530};
  /// Time between two tokens of a response.
  milliseconds between_tokens_target{30};
  /// Time limit of a request whose route sets no deadline.
  milliseconds deadline{60000};
  /// Relative value of a request whose response meets its latency target.
  double worth = 1.0;
  /// Share of a pool's capacity, 0 to 1, that this rank always gets when it
  /// has enough requests to use it.
  double guaranteed_share = 0.0;

  bool operator==(const rank_policy&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_RANK_H_

#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_CALLER_ALLOCATIONS_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_CALLER_ALLOCATIONS_H_

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "skylarkcroft/limits/skylarkcroft_limit_allocation.h"

namespace skylarkcroft {

/// The limits a caller can have; the values index caller_allocations.
enum class limit_kind { kRequests, kTokens, kConcurrent };
inline constexpr std::array<limit_kind, 3> kAllLimits = {
    limit_kind::kRequests, limit_kind::kTokens, limit_kind::kConcurrent};

constexpr size_t IndexOf(limit_kind kind) { return static_cast<size_t>(kind); }

/// One node's allocations of the limits of one caller, by limit_kind.
using caller_allocations = std::array<limit_allocation, kAllLimits.size()>;
/// Keyed by caller name.
using allocations_by_caller = std::map<std::string, caller_allocations>;

/// Topic of the mesh record that carries a node's allocations.
inline constexpr const char* kLimitsTopic = "limits";

/// Encodes as MessagePack: for each caller an array of demand and allocated
/// amount for each limit_kind.
std::string EncodeAllocations(const allocations_by_caller& allocations);
/// Skips malformed entries; a malformed payload yields an empty result.
allocations_by_caller DecodeAllocations(std::string_view payload);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_CALLER_ALLOCATIONS_H_

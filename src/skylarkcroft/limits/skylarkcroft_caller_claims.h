#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_CALLER_CLAIMS_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_CALLER_CLAIMS_H_

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "skylarkcroft/limits/skylarkcroft_limit_share.h"

namespace skylarkcroft {

/// The limits a caller can have; also the index of their state.
enum class limit_kind { kRequests, kTokens, kConcurrent };
inline constexpr std::array<limit_kind, 3> kAllLimits = {
    limit_kind::kRequests, limit_kind::kTokens, limit_kind::kConcurrent};

constexpr size_t IndexOf(limit_kind kind) { return static_cast<size_t>(kind); }

/// One node's claims on the limits of one caller, by limit_kind.
using caller_claims = std::array<limit_claim, kAllLimits.size()>;
/// By name of the caller.
using claims_by_caller = std::map<std::string, caller_claims>;

/// Topic of the record that carries a node's claims.
inline constexpr const char* kLimitsTopic = "limits";

std::string EncodeClaims(const claims_by_caller& claims);
/// What is malformed is left out.
claims_by_caller DecodeClaims(std::string_view payload);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_CALLER_CLAIMS_H_

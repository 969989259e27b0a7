#include "skylarkcroft/limits/skylarkcroft_caller_claims.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace skylarkcroft {
namespace {

using json = nlohmann::json;

constexpr double kLeastDemand = 0.01;

// Single precision takes half the bytes on the wire.
double Rounded(double value) { return static_cast<float>(value); }

// Two digits, so that noise in the demand is no change to be told.
double Coarse(double demand) {
  if (demand < kLeastDemand) {
    return 0;
  }
  const double unit = std::pow(10.0, std::floor(std::log10(demand)) - 1);
  return Rounded(std::round(demand / unit) * unit);
}

}  // namespace

std::string EncodeClaims(const claims_by_caller& claims) {
  json document = json::object();
  for (const auto& [caller, own] : claims) {
    json numbers = json::array();
    for (const limit_claim& claim : own) {
      numbers.push_back(Coarse(claim.demand));
      numbers.push_back(Rounded(claim.part));
    }
    document[caller] = std::move(numbers);
  }
  std::string payload;
  json::to_msgpack(document, payload);
  return payload;
}

claims_by_caller DecodeClaims(std::string_view payload) {
  claims_by_caller claims;
  const json document = json::from_msgpack(payload, true, false);
  if (!document.is_object()) {
    return claims;
  }
  for (const auto& [caller, numbers] : document.items()) {
    if (!numbers.is_array() || numbers.size() < 2 * kAllLimits.size()) {
      continue;
    }
    caller_claims& own = claims[caller];
    for (const limit_kind kind : kAllLimits) {
      const json& demand = numbers[2 * IndexOf(kind)];
      const json& part = numbers[2 * IndexOf(kind) + 1];
      if (demand.is_number() && part.is_number()) {
        own[IndexOf(kind)] = {demand.get<double>(), part.get<double>()};
      }
    }
  }
  return claims;
}

}  // namespace skylarkcroft

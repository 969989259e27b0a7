#include "skylarkcroft/limits/skylarkcroft_caller_allocations.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

using json = nlohmann::json;

// Requests or tokens a second, or concurrent requests; less counts as 0.
constexpr double kMinDemand = 0.01;

// Rounded to single precision, which takes half the bytes on the wire.
double Rounded(double value) { return static_cast<float>(value); }

// Rounded to two significant digits, so that noise in the demand does not
// change what is published.
double RoundedToTwoDigits(double demand) {
  if (demand < kMinDemand) {
    return 0;
  }
  const double unit = std::pow(10.0, std::floor(std::log10(demand)) - 1);
  return Rounded(std::round(demand / unit) * unit);
}

}  // namespace

std::string EncodeAllocations(const allocations_by_caller& allocations) {
  json document = json::object();
  for (const auto& [caller, by_kind] : allocations) {
    json values = json::array();
    for (const limit_allocation& allocation : by_kind) {
      values.push_back(RoundedToTwoDigits(allocation.demand));
      values.push_back(Rounded(allocation.allocated));
    }
    document[caller] = std::move(values);
  }
  std::string payload;
  json::to_msgpack(document, payload);
  return payload;
}

allocations_by_caller DecodeAllocations(std::string_view payload) {
  allocations_by_caller allocations;
  const json document = DecodeBoundedMessagePack(payload);
  if (!document.is_object()) {
    return allocations;
  }
  for (const auto& [caller, values] : document.items()) {
    if (!values.is_array() || values.size() < 2 * kAllLimits.size()) {
      continue;
    }
    caller_allocations& by_kind = allocations[caller];
    for (const limit_kind kind : kAllLimits) {
      const json& demand = values[2 * IndexOf(kind)];
      const json& allocated = values[2 * IndexOf(kind) + 1];
      if (demand.is_number() && allocated.is_number()) {
        by_kind[IndexOf(kind)] = {demand.get<double>(),
                                  allocated.get<double>()};
      }
    }
  }
  return allocations;
}

}  // namespace skylarkcroft

#include "skylarkcroft/rollout/skylarkcroft_rollout_plan.h"

#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <tuple>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

// Tells plans from other datagrams between nodes.
constexpr const char* kFormatName = "rollout-plan1";
constexpr std::array<std::string_view, 6> kStageNames = {
    "waiting", "canary", "ramp", "drain", "completed", "rolled_back"};

rollout_stage ParseStage(const std::string& name) {
  for (size_t i = 0; i < kStageNames.size(); ++i) {
    if (kStageNames[i] == name) {
      return static_cast<rollout_stage>(i);
    }
  }
  throw std::out_of_range("unknown stage");
}

json ToJson(const rollout_plan& plan) {
  return {{"service", plan.order.service},
          {"target", plan.order.target},
          {"period_ms", plan.order.period.count()},
          {"era", plan.order.position.era},
          {"version", plan.order.position.version},
          {"ordered_at_ms", plan.ordered_at_ms},
          {"fence", plan.fencing_token},
          {"sequence", plan.sequence},
          {"stage", std::string(ToString(plan.stage))},
          {"share", plan.share},
          {"upstreams", plan.canary_upstreams},
          {"routes", plan.moved_routes}};
}

// Throws json::exception or std::out_of_range.
rollout_plan FromJson(const json& item) {
  rollout_plan plan;
  plan.order.service = item.at("service").get<std::string>();
  plan.order.target = item.at("target").get<std::string>();
  plan.order.period = milliseconds(item.at("period_ms").get<int64_t>());
  plan.order.position = {item.at("era").get<int64_t>(),
                         item.at("version").get<int64_t>()};
  plan.ordered_at_ms = item.at("ordered_at_ms").get<int64_t>();
  plan.fencing_token = item.at("fence").get<int64_t>();
  plan.sequence = item.at("sequence").get<int64_t>();
  plan.stage = ParseStage(item.at("stage").get<std::string>());
  plan.share = item.at("share").get<double>();
  plan.canary_upstreams = item.at("upstreams").get<int>();
  plan.moved_routes = item.at("routes").get<std::vector<std::string>>();
  plan.reason = item.value("reason", "");
  const bool valid = !plan.order.service.empty() &&
                     !plan.order.target.empty() &&
                     plan.order.period.count() > 0 && plan.share >= 0 &&
                     plan.share <= 1 && plan.canary_upstreams >= 0;
  if (!valid) {
    throw std::out_of_range("value out of range");
  }
  return plan;
}

std::optional<rollout_plan> Decode(const json& item) {
  try {
    return FromJson(item);
  } catch (const json::exception&) {
    // Not written by this program; the caller counts it as malformed.
    return std::nullopt;
  } catch (const std::out_of_range&) {
    return std::nullopt;
  }
}

}  // namespace

std::string_view ToString(rollout_stage stage) {
  return kStageNames.at(static_cast<size_t>(stage));
}

bool Supersedes(const rollout_plan& plan, const rollout_plan& current) {
  if (!IsSameOrder(plan.order, current.order)) {
    return plan.order.position > current.order.position;
  }
  if (IsFinal(current.stage)) {
    return false;
  }
  // A former holder's rollback is followed whatever its successor has planned
  // since: the evidence against the version stands.
  return plan.stage == rollout_stage::kRolledBack ||
         std::tie(plan.fencing_token, plan.sequence) >
             std::tie(current.fencing_token, current.sequence);
}

std::string EncodePlanRow(const rollout_plan& plan) {
  json item = ToJson(plan);
  item["reason"] = plan.reason;
  return item.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<rollout_plan> DecodePlanRow(std::string_view value) {
  return Decode(ParseBoundedJson(value));
}

std::string EncodePlan(const rollout_plan& plan) {
  const std::vector<uint8_t> bytes =
      json::to_cbor(json::array({kFormatName, ToJson(plan)}));
  return {bytes.begin(), bytes.end()};
}

std::optional<rollout_plan> DecodePlan(std::string_view bytes) {
  const json items = DecodeBoundedCbor(bytes);
  if (!items.is_array() || items.size() != 2 || items.front() != kFormatName) {
    return std::nullopt;
  }
  return Decode(items.at(1));
}

}  // namespace skylarkcroft

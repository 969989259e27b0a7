#include "standins/engine/order_state.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft::standin {
namespace {

constexpr int_range kNumberRange{0, std::numeric_limits<int64_t>::max()};

bool SameWeights(const engine_assignment& left,
                 const engine_assignment& right) {
  return left.model == right.model && left.version == right.version &&
         left.adapters == right.adapters;
}

}  // namespace

engine_order ParseOrder(std::string_view body) {
  const nlohmann::json document = ParseJson(body);
  const json_reader reader(document, "$",
                           {"fence", "issuer", "number", "desired"});
  engine_order order;
  order.fence = reader.Int("fence", kNumberRange);
  order.issuer = reader.String("issuer");
  order.number = reader.Int("number", kNumberRange);
  const json_reader desired(
      reader.Member("desired"), "$.desired",
      {"model", "version", "adapters", "role", "draining"});
  order.desired.model = desired.Name("model");
  order.desired.version = desired.StringOr("version", "");
  order.desired.adapters = desired.StringsOr("adapters", {});
  order.desired.role =
      desired.ChoiceOr("role", {"prefill", "decode", "both"}, "both");
  order.desired.draining = desired.BoolOr("draining", false);
  return order;
}

order_state::order_state(fencing_mode fencing, milliseconds load_time,
                         engine_assignment initial)
    : fencing_(fencing), load_time_(load_time), before_(initial) {
  last_.desired = std::move(initial);
}

order_outcome order_state::Apply(const engine_order& order, time_point now) {
  if (fencing_ == fencing_mode::kChecked && order.fence < last_.fence) {
    return order_outcome::kStaleFence;
  }
  if (!SameWeights(order.desired, last_.desired)) {
    before_ = ActualAt(now);
    loaded_at_ = now + load_time_;
  }
  last_ = order;
  return order_outcome::kApplied;
}

engine_assignment order_state::ActualAt(time_point now) const {
  if (!LoadingAt(now)) {
    return last_.desired;
  }
  engine_assignment actual = before_;
  actual.role = last_.desired.role;
  actual.draining = last_.desired.draining;
  return actual;
}

}  // namespace skylarkcroft::standin

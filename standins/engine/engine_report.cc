#include "standins/engine/engine_report.h"

#include <nlohmann/json.hpp>

namespace skylarkcroft::standin {
namespace {

std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::string ToJson(const load_report& report) {
  return Dump({{"seq", report.seq},
               {"sampled_at_ms", report.sampled_at_ms},
               {"running", report.running},
               {"waiting", report.waiting},
               {"slots", report.slots},
               {"kv_used_tokens", report.kv_used_tokens},
               {"kv_capacity_tokens", report.kv_capacity_tokens},
               {"decode_tokens_per_s", report.decode_tokens_per_s},
               {"prefill_tokens_per_s", report.prefill_tokens_per_s},
               {"model", report.assignment.model},
               {"version", report.assignment.version},
               {"role", report.assignment.role},
               {"availability_zone", report.availability_zone},
               {"leaving", report.leaving}});
}

std::string ToJson(const engine_stats& stats) {
  return Dump({{"requests", stats.requests},
               {"prefill_tokens", stats.prefill_tokens},
               {"cached_tokens", stats.cached_tokens},
               {"generated_tokens", stats.generated_tokens},
               {"resumed", stats.resumed},
               {"cancelled", stats.cancelled},
               {"exported", stats.exported},
               {"imported", stats.imported},
               {"runs", stats.runs},
               {"max_running", stats.max_running},
               {"received_while_leaving", stats.received_while_leaving}});
}

std::string ToJson(const cache_event_page& page) {
  nlohmann::json events = nlohmann::json::array();
  for (const cache_event& event : page.events) {
    const bool stored = event.change.kind == cache_change_kind::kStored;
    events.push_back({{"seq", event.seq},
                      {"kind", stored ? "stored" : "evicted"},
                      {"prefix_hash", HashText(event.change.prefix_hash)},
                      {"tokens", event.change.tokens}});
  }
  return Dump({{"events", events}, {"last_seq", page.last_seq}});
}

std::string ToJson(const order_state& orders, time_point now) {
  const engine_assignment actual = orders.ActualAt(now);
  const nlohmann::json assignment = {{"model", actual.model},
                                     {"version", actual.version},
                                     {"adapters", actual.adapters},
                                     {"role", actual.role},
                                     {"draining", actual.draining}};
  return Dump({{"fence", orders.last().fence},
               {"number", orders.last().number},
               {"issuer", orders.last().issuer},
               {"actual", assignment},
               {"loading", orders.LoadingAt(now)}});
}

}  // namespace skylarkcroft::standin

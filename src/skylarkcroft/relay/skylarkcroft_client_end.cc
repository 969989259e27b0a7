#include "skylarkcroft/relay/skylarkcroft_client_end.h"

#include <string>

#include "skylarkcroft/relay/skylarkcroft_idle_clients.h"

namespace skylarkcroft {
namespace {

std::string TrueOrFalse(bool value) { return value ? "true" : "false"; }

}  // namespace

std::string_view ToString(client_end_reason reason) {
  switch (reason) {
    case client_end_reason::kIdle:
      return "idle";
    case client_end_reason::kExcess:
      return "excess";
    case client_end_reason::kLeaving:
      return "leaving";
    case client_end_reason::kAnswered:
      return "answered";
    case client_end_reason::kClientGone:
      return "client_gone";
    case client_end_reason::kBrokenOff:
      return "broken_off";
    case client_end_reason::kStalled:
      return "stalled";
    case client_end_reason::kMemory:
      return "memory_short";
    case client_end_reason::kExit:
      return "exit";
  }
  return "unknown";
}

std::string_view ToString(idle_time time) {
  switch (time) {
    case idle_time::kNone:
      return "none";
    case idle_time::kShort:
      return "short";
    case idle_time::kWithinLimit:
      return "within_limit";
    case idle_time::kPastLimit:
      return "past_limit";
  }
  return "unknown";
}

idle_time client_end::IdleTime() const {
  if (!idle.has_value()) {
    return idle_time::kNone;
  }
  if (*idle >= idle_limit) {
    return idle_time::kPastLimit;
  }
  return *idle < kMaxRequestDelay ? idle_time::kShort : idle_time::kWithinLimit;
}

log_entry ToLogEntry(const client_end& end) {
  log_entry entry;
  entry.level = log_level::kInfo;
  entry.message = "client connection ended";
  entry.fields = {
      {"reason", std::string(ToString(end.reason))},
      {"request_in_flight", TrueOrFalse(end.request_in_flight)},
      {"request_partly_read", TrueOrFalse(end.request_partly_read)},
      {"unread", TrueOrFalse(end.has_unread)},
      {"unsent_bytes", std::to_string(end.unsent)},
      {"had_request", TrueOrFalse(end.had_request)},
      {"idle_ms",
       end.idle.has_value() ? std::to_string(end.idle->count()) : ""},
      {"idle_limit_ms", std::to_string(end.idle_limit.count())},
  };
  return entry;
}

}  // namespace skylarkcroft

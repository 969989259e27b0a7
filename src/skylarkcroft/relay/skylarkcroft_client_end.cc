#include "skylarkcroft/relay/skylarkcroft_client_end.h"

#include <string>

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
    case client_end_reason::kExit:
      return "exit";
  }
  return "unknown";
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
  };
  return entry;
}

}  // namespace skylarkcroft

#include "skylarkcroft/relay/skylarkcroft_request_record.h"

#include <utility>

namespace skylarkcroft {
namespace {

constexpr int kFirstServerError = 500;

std::string Ms(milliseconds duration) {
  return std::to_string(duration.count());
}

std::string WholeTokens(double amount) {
  return std::to_string(static_cast<int64_t>(amount));
}

std::string Percent(double share) {
  constexpr double kPercent = 100;
  return std::to_string(static_cast<int64_t>(kPercent * share));
}

}  // namespace

log_entry ToLogEntry(const request_record& record) {
  log_entry entry;
  entry.level =
      record.status >= kFirstServerError ? log_level::kWarn : log_level::kInfo;
  entry.message = "request ended";
  entry.request_id = record.request_id;
  entry.caller = record.workspace;
  entry.upstream = record.upstream;
  entry.fields = {
      {"request_key", record.request_key},
      {"route", record.route},
      {"service", record.service},
      {"status", std::to_string(record.status)},
      {"reason", record.reason},
      {"version", record.version},
      {"resumes", record.resumes},
      {"resumed_after", record.resumed_after},
      {"last_failure", record.last_failure},
      {"silence", record.silence},
      {"tables_version", std::to_string(record.tables_version)},
      {"tables_age_ms", Ms(record.tables_age)},
      {"upstreams_used", std::to_string(record.upstreams_used)},
      {"connect_tries", std::to_string(record.connect_tries)},
      {"candidates", std::to_string(record.candidates)},
      {"running_there", std::to_string(record.running_there)},
      {"unread_there", std::to_string(record.unread_there)},
      {"expected_first_ms", Ms(record.expected_first)},
      {"peer_age_ms", Ms(record.peer_age)},
      {"time_given_ms", Ms(record.time_given)},
      {"allotment_amount", WholeTokens(record.allotment_amount)},
      {"allotment_level", WholeTokens(record.allotment_level)},
      {"allotment_required", WholeTokens(record.allotment_required)},
      {"service_fill_percent", Percent(record.service_fill)},
      {"service_max_fill_percent", Percent(record.service_max_fill)},
      {"retry_after_ms", Ms(record.retry_after)},
      {"allotment_source", record.allotment_source},
      {"allotment_demand", WholeTokens(record.allotment_demand)},
      {"first_byte_ms", Ms(record.first_byte)},
      {"longest_pause_ms", Ms(record.longest_pause)},
      {"total_ms", Ms(record.total)},
      {"upstream_framing", record.upstream_framing},
      {"end_shown_by", record.end_shown_by},
      {"events", std::to_string(record.events)},
  };
  return entry;
}

}  // namespace skylarkcroft

#include "skylarkcroft/relay/skylarkcroft_attempt_record.h"

namespace skylarkcroft {

log_entry ToLogEntry(const attempt_record& record) {
  log_entry entry;
  entry.level = log_level::kInfo;
  entry.message = "attempt failed";
  entry.request_id = record.request_id;
  entry.upstream = record.upstream;
  entry.fields = {
      {"request_key", record.request_key},
      {"service", record.service},
      {"failure", record.failure},
      {"head_received", record.head_received ? "true" : "false"},
      {"framing", record.framing},
      {"partial_event_bytes", std::to_string(record.partial_event_bytes)},
      {"version", record.version},
      {"upstream_ended", record.upstream_ended ? "true" : "false"},
      {"elapsed_ms", std::to_string(record.elapsed.count())},
      {"output_age_ms", record.output_age.has_value()
                            ? std::to_string(record.output_age->count())
                            : "none"},
      {"prompt_parts", record.prompt_parts},
      {"part_keys", record.part_keys},
  };
  return entry;
}

}  // namespace skylarkcroft

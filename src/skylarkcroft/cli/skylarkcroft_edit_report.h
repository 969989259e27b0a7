#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_EDIT_REPORT_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_EDIT_REPORT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "skylarkcroft/cli/skylarkcroft_exit_code.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"

namespace skylarkcroft {

/// What a node said, or failed to say, about an edit.
struct edit_report {
  exit_code code = exit_code::kOutcomeUnknown;
  /// For a person; names the remedy where the edit was not accepted.
  std::string text;
  /// JSON text for scripts, with members `outcome` and `edit_id`.
  std::string json;

  bool operator==(const edit_report&) const = default;
};

/// Reads the answer to the PUT of a table under `edit_id`. An answer that is
/// lost or not understood is reported as unknown.
edit_report ReadEditAnswer(const http_result& result,
                           const std::string& edit_id);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_EDIT_REPORT_H_

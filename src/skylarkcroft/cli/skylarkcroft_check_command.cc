#include "skylarkcroft/cli/skylarkcroft_check_command.h"

#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

#include "skylarkcroft/cli/skylarkcroft_cli_errors.h"
#include "skylarkcroft/internal/skylarkcroft_read_file.h"

namespace skylarkcroft {
namespace {

nlohmann::ordered_json ToJson(const document_report& report) {
  nlohmann::ordered_json line = {{"file", report.file},
                                 {"valid", !report.fault.has_value()}};
  if (report.kind.has_value()) {
    line["kind"] = ToString(*report.kind);
  }
  if (report.fault.has_value()) {
    line["path"] = report.fault->path;
    line["reason"] = report.fault->reason;
    line["remedy"] = report.fault->remedy;
  }
  return line;
}

std::string ToText(const document_report& report) {
  std::string text = report.file + ": ";
  if (report.fault.has_value()) {
    return text + report.fault->path + ": " + report.fault->reason + "; " +
           report.fault->remedy;
  }
  text += "valid";
  if (report.kind.has_value()) {
    text += " (" + std::string(ToString(*report.kind)) + ")";
  }
  return text;
}

}  // namespace

check_command::check_command(document_check_fn check)
    : check_(std::move(check)) {}

std::string check_command::summary() const {
  return "validate settings and tables without a node";
}

exit_code check_command::Run(const command_call& call) {
  if (call.arguments.empty()) {
    throw usage_error("no file is given", "name the files to check");
  }
  std::vector<document_file> files;
  for (const std::string& path : call.arguments) {
    files.push_back({path, ReadFile(path)});
  }
  bool valid = true;
  nlohmann::ordered_json listed = nlohmann::ordered_json::array();
  for (const document_report& report : check_(files)) {
    valid = valid && !report.fault.has_value();
    if (call.json) {
      listed.push_back(ToJson(report));
      continue;
    }
    call.out << ToText(report) << "\n";
  }
  if (call.json) {
    call.out << nlohmann::ordered_json{{"valid", valid}, {"files", listed}}
             << "\n";
  }
  return valid ? exit_code::kOk : exit_code::kInvalidDocument;
}

}  // namespace skylarkcroft

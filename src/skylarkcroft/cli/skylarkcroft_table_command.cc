#include "skylarkcroft/cli/skylarkcroft_table_command.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

#include "skylarkcroft/cli/skylarkcroft_cli_errors.h"
#include "skylarkcroft/cli/skylarkcroft_edit_report.h"
#include "skylarkcroft/cli/skylarkcroft_option_parser.h"
#include "skylarkcroft/cli/skylarkcroft_readable_text.h"
#include "skylarkcroft/internal/skylarkcroft_digest.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"
#include "skylarkcroft/internal/skylarkcroft_read_file.h"

namespace skylarkcroft {
namespace {

constexpr int kIndent = 2;
constexpr size_t kEditIdBytes = 16;

int64_t ParseRevision(const std::string& text) {
  int64_t revision = 0;
  const char* last = text.data() + text.size();
  const auto [end, status] = std::from_chars(text.data(), last, revision);
  if (status != std::errc() || end != last || revision < 0) {
    throw usage_error("'" + text + "' is not a revision",
                      "give a whole number from the table's history");
  }
  return revision;
}

void ExpectArguments(const command_call& call, size_t count,
                     const std::string& form) {
  if (call.arguments.size() != count + 1) {
    throw usage_error("wrong number of arguments", "use " + form);
  }
}

const nlohmann::json& Member(const nlohmann::json& answer, const char* key) {
  const auto found = answer.find(key);
  if (found == answer.end()) {
    throw refused_error(std::string("the node's answer has no ") + key,
                        "check that node and command have one version");
  }
  return *found;
}

void PrintDiff(const command_call& call, const nlohmann::json& before,
               const nlohmann::json& after) {
  const nlohmann::json patch = nlohmann::json::diff(before, after);
  if (call.json) {
    call.out << patch << "\n";
    return;
  }
  for (const nlohmann::json& step : patch) {
    const auto path = step.at("path").get<std::string>();
    const nlohmann::json::json_pointer place(path);
    const bool added = step.at("op") == "add";
    if (!added) {
      call.out << "- " << path << ": " << before.at(place) << "\n";
    }
    if (step.contains("value")) {
      call.out << "+ " << path << ": " << step.at("value") << "\n";
    }
  }
}

}  // namespace

table_command::table_command(std::string table) : table_(std::move(table)) {}

std::string table_command::summary() const {
  return "read or edit the table of " + table_;
}

std::string table_command::synopsis() const {
  return "get | put FILE | history | diff REVISION REVISION | rollback "
         "REVISION";
}

std::vector<std::string> table_command::choices() const {
  return {"get", "put", "history", "diff", "rollback"};
}

void table_command::AddOptions(option_parser& parser) {
  node_.AddTo(parser);
  parser.AddString("if-match", "REVISION",
                   "put: refuse unless this revision is the newest",
                   &base_revision_);
  parser.AddString("edit-id", "ID",
                   "put, rollback: name of the edit, to repeat one whose "
                   "outcome is unknown",
                   &edit_id_);
}

exit_code table_command::Run(const command_call& call) {
  const std::string action =
      call.arguments.empty() ? "" : call.arguments.front();
  if (action == "get") {
    return Get(call);
  }
  if (action == "put") {
    return Put(call);
  }
  if (action == "history") {
    return History(call);
  }
  if (action == "diff") {
    return Diff(call);
  }
  if (action == "rollback") {
    return Rollback(call);
  }
  throw usage_error(
      action.empty() ? "no action is given" : "unknown action " + action,
      "use " + table_ + " " + synopsis());
}

exit_code table_command::Get(const command_call& call) const {
  ExpectArguments(call, 0, table_ + " get");
  const nlohmann::json answer = node_.MakeClient().Get(Target());
  if (call.json) {
    call.out << answer << "\n";
    return exit_code::kOk;
  }
  call.err << "revision " << Member(answer, "revision") << "\n";
  call.out << Member(answer, "document").dump(kIndent) << "\n";
  return exit_code::kOk;
}

exit_code table_command::Put(const command_call& call) const {
  ExpectArguments(call, 1, table_ + " put FILE");
  const nlohmann::json document = ParseJson(ReadFile(call.arguments[1]));
  return Submit(call, node_.MakeClient(), document, BaseRevision());
}

exit_code table_command::History(const command_call& call) const {
  ExpectArguments(call, 0, table_ + " history");
  const nlohmann::json answer = node_.MakeClient().Get(Target() + "/history");
  if (call.json) {
    call.out << answer << "\n";
    return exit_code::kOk;
  }
  for (const nlohmann::json& edit : Member(answer, "edits")) {
    call.out << ToReadableLine(edit) << "\n";
  }
  return exit_code::kOk;
}

exit_code table_command::Diff(const command_call& call) const {
  ExpectArguments(call, 2, table_ + " diff REVISION REVISION");
  const int64_t before = ParseRevision(call.arguments[1]);
  const int64_t after = ParseRevision(call.arguments[2]);
  const operators_client node = node_.MakeClient();
  PrintDiff(call, ReadRevision(node, before), ReadRevision(node, after));
  return exit_code::kOk;
}

exit_code table_command::Rollback(const command_call& call) const {
  ExpectArguments(call, 1, table_ + " rollback REVISION");
  const int64_t revision = ParseRevision(call.arguments[1]);
  const operators_client node = node_.MakeClient();
  const nlohmann::json document = ReadRevision(node, revision);
  std::optional<int64_t> base = BaseRevision();
  if (!base.has_value()) {
    base = Member(node.Get(Target()), "revision").get<int64_t>();
  }
  return Submit(call, node, document, base);
}

std::string table_command::Target() const { return "/operators/" + table_; }

nlohmann::json table_command::ReadRevision(const operators_client& node,
                                           int64_t revision) const {
  const nlohmann::json answer =
      node.Get(Target() + "?revision=" + std::to_string(revision));
  return Member(answer, "document");
}

std::optional<int64_t> table_command::BaseRevision() const {
  if (base_revision_.empty()) {
    return std::nullopt;
  }
  return ParseRevision(base_revision_);
}

exit_code table_command::Submit(const command_call& call,
                                const operators_client& node,
                                const nlohmann::json& document,
                                std::optional<int64_t> base_revision) const {
  const std::string edit_id =
      edit_id_.empty() ? RandomHex(kEditIdBytes) : edit_id_;
  http_request request{
      "PUT",
      Target(),
      {{"Content-Type", "application/json"}, {"X-Edit-Id", edit_id}},
      document.dump()};
  if (base_revision.has_value()) {
    request.headers.Add("If-Match", std::to_string(*base_revision));
  }
  const edit_report report =
      ReadEditAnswer(node.Send(std::move(request)), edit_id);
  if (call.json) {
    call.out << report.json << "\n";
  } else {
    (report.code == exit_code::kOk ? call.out : call.err)
        << report.text << "\n";
  }
  return report.code;
}

}  // namespace skylarkcroft

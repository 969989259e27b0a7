#include "skylarkcroft/node/skylarkcroft_operators_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "skylarkcroft/http/skylarkcroft_problem.h"
#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/internal/skylarkcroft_digest.h"
#include "skylarkcroft/log/skylarkcroft_logger.h"
#include "skylarkcroft/metrics/skylarkcroft_metrics_registry.h"
#include "skylarkcroft/tables/skylarkcroft_active_tables.h"

namespace skylarkcroft {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;
// Revisions that the history reaches back, and room for edits that this node
// does not serve under yet.
constexpr int64_t kHistoryRevisions = 900;
constexpr size_t kMaxHistoryRows = 1000;
constexpr size_t kEditIdBytes = 8;

void ReplyJson(const http_exchange_ptr& exchange, int status,
               const nlohmann::json& document) {
  exchange->Reply(
      {status,
       {{"Content-Type", "application/json"}},
       document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
           "\n"});
}

std::optional<int64_t> ParseRevision(const std::string& text) {
  int64_t revision = 0;
  const auto [end, status] =
      std::from_chars(text.data(), text.data() + text.size(), revision);
  if (text.empty() || status != std::errc() ||
      end != text.data() + text.size()) {
    return std::nullopt;
  }
  return revision;
}

/// Empty when `document` is no object or the member no string.
std::string StringMember(const nlohmann::json& document, const char* name) {
  if (!document.is_object()) {
    return "";
  }
  const auto found = document.find(name);
  return found != document.end() && found->is_string()
             ? found->get<std::string>()
             : "";
}

int StatusOfEdit(edit_outcome outcome) {
  switch (outcome) {
    case edit_outcome::kAccepted:
      return kOk;
    case edit_outcome::kConflict:
      return kConflict;
    case edit_outcome::kInvalid:
      return kUnprocessable;
    default:
      return kUnavailable;
  }
}

const char* NameOfEdit(edit_outcome outcome) {
  switch (outcome) {
    case edit_outcome::kAccepted:
      return "accepted";
    case edit_outcome::kConflict:
      return "conflict";
    case edit_outcome::kInvalid:
      return "invalid";
    case edit_outcome::kRejected:
      return "rejected";
    case edit_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

nlohmann::json Describe(const edit_result& result) {
  nlohmann::json document = {{"outcome", NameOfEdit(result.outcome)},
                             {"revision", result.revision}};
  if (!result.detail.empty()) {
    document["detail"] = result.detail;
  }
  if (result.outcome == edit_outcome::kInvalid) {
    document["path"] = result.path;
    document["reason"] = result.reason;
    document["remedy"] = result.remedy;
  }
  return document;
}

nlohmann::json Describe(const table_edit& edit) {
  return {{"revision", edit.revision},
          {"table", ToString(edit.table)},
          {"edit_id", edit.edit_id},
          {"at_ms", edit.at_ms},
          {"by", edit.by}};
}

}  // namespace

operators_api::operators_api(operators_environment environment)
    : environment_(std::move(environment)) {}

bool operators_api::Allowed(const http_request& request) const {
  if (environment_.key_digest.empty()) {
    return true;
  }
  constexpr std::string_view kBearer = "Bearer ";
  const std::string field = request.headers.Get("Authorization");
  return field.starts_with(kBearer) &&
         Sha256Hex(std::string_view{field}.substr(kBearer.size())) ==
             environment_.key_digest;
}

void operators_api::OnRequest(const http_exchange_ptr& exchange) {
  const http_request& request = exchange->request();
  const std::string path = request.path();
  if (path == "/metrics") {
    exchange->Reply({kOk,
                     {{"Content-Type", "text/plain; version=0.0.4"}},
                     environment_.metrics.RenderPrometheus()});
    return;
  }
  if (!Allowed(request)) {
    exchange->Reply(ToResponse(
        MakeProblem(refusal_reason::kUnauthenticated, run_state::kNotRun,
                    "send Authorization: Bearer with the operators' key", "")));
    return;
  }
  if (path == "/operators/status") {
    ReplyJson(exchange, kOk, environment_.status());
  } else if (path == "/operators/requests") {
    ReplyJson(exchange, kOk, environment_.requests());
  } else if (path == "/operators/loglevel") {
    OnLogLevel(exchange);
  } else if (path == "/operators/routes") {
    OnTable(exchange, table_kind::kRoutes);
  } else if (path == "/operators/pools") {
    OnTable(exchange, table_kind::kPools);
  } else if (path == "/operators/routes/history") {
    OnHistory(exchange, table_kind::kRoutes);
  } else if (path == "/operators/pools/history") {
    OnHistory(exchange, table_kind::kPools);
  } else {
    exchange->Reply(
        ToResponse(MakeProblem(refusal_reason::kNotFound, run_state::kNotRun,
                               "see docs/operators-api.md for the paths", "")));
  }
}

void operators_api::OnTable(const http_exchange_ptr& exchange,
                            table_kind table) {
  if (exchange->request().method == "PUT") {
    OnPut(exchange, table);
    return;
  }
  const std::string wanted = exchange->request().QueryParameter("revision");
  if (!wanted.empty()) {
    OnOldRevision(exchange, table, ParseRevision(wanted).value_or(0));
    return;
  }
  const table_set_ptr& tables = environment_.tables.current();
  const std::string& document = table == table_kind::kRoutes
                                    ? tables->routes_document
                                    : tables->pools_document;
  ReplyJson(exchange, kOk,
            {{"revision", tables->revision},
             {"document", ParseBoundedJson(document)}});
}

void operators_api::OnPut(const http_exchange_ptr& exchange, table_kind table) {
  const http_request& request = exchange->request();
  edit_request edit;
  edit.table = table;
  edit.document = request.body;
  edit.edit_id = request.headers.Get("X-Edit-Id");
  if (edit.edit_id.empty()) {
    edit.edit_id = RandomHex(kEditIdBytes);
  }
  if (request.headers.Has("If-Match")) {
    edit.base_revision = ParseRevision(request.headers.Get("If-Match"));
    if (!edit.base_revision) {
      ReplyJson(exchange, kBadRequest,
                {{"outcome", "rejected"},
                 {"detail",
                  "If-Match is not a revision; send the number that "
                  "get showed"}});
      return;
    }
  }
  environment_.editor.Edit(std::move(edit),
                           [this, exchange](const edit_result& result) {
                             OnEdited(exchange, result);
                           });
}

void operators_api::OnEdited(const http_exchange_ptr& exchange,
                             const edit_result& result) {
  if (result.outcome != edit_outcome::kAccepted) {
    ReplyJson(exchange, StatusOfEdit(result.outcome), Describe(result));
    return;
  }
  environment_.await_spread(result.revision,
                            [exchange, result](const edit_propagation& spread) {
                              nlohmann::json document = Describe(result);
                              document["in_force_on"] = spread.active_on;
                              document["stopped"] = spread.stopped;
                              document["pending"] = spread.pending;
                              ReplyJson(exchange, kOk, document);
                            });
}

void operators_api::OnHistory(const http_exchange_ptr& exchange,
                              table_kind table) {
  const int64_t before = std::max<int64_t>(
      0, environment_.tables.current()->revision - kHistoryRevisions);
  environment_.store.Query(
      {kEditsPartition, "", EditKey(before).sort, kMaxHistoryRows},
      [exchange, table](const query_result& result) {
        if (!result.available) {
          ReplyJson(exchange, kUnavailable,
                    {{"detail",
                      "the table service cannot be read; try again "
                      "later"}});
          return;
        }
        nlohmann::json edits = nlohmann::json::array();
        for (const table_row& row : result.rows) {
          const std::optional<table_edit> edit = DecodeEdit(row);
          if (edit && edit->table == table) {
            edits.push_back(Describe(*edit));
          }
        }
        ReplyJson(exchange, kOk, {{"edits", edits}});
      });
}

void operators_api::OnOldRevision(const http_exchange_ptr& exchange,
                                  table_kind table, int64_t revision) {
  environment_.store.Get(EditKey(revision), [exchange, table, revision](
                                                const read_result& result) {
    const std::optional<table_edit> edit =
        result.outcome == read_outcome::kFound ? DecodeEdit(result.row)
                                               : std::nullopt;
    if (!edit || edit->table != table) {
      ReplyJson(exchange, kNotFound,
                {{"detail",
                  "this revision did not change this table; see "
                  "its history"}});
      return;
    }
    ReplyJson(exchange, kOk,
              {{"revision", revision},
               {"document", ParseBoundedJson(edit->document)}});
  });
}

void operators_api::OnLogLevel(const http_exchange_ptr& exchange) {
  const nlohmann::json body = ParseBoundedJson(exchange->request().body);
  const std::string name = StringMember(body, "level");
  const std::optional<log_level> level = ParseLogLevel(name);
  if (!level) {
    ReplyJson(exchange, kBadRequest,
              {{"detail", "use trace, debug, info, warn or error"}});
    return;
  }
  environment_.log.SetLevel(*level);
  ReplyJson(exchange, kOk, {{"level", name}});
}

}  // namespace skylarkcroft

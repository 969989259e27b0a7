#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"
#include "skylarkcroft/platform/skylarkcroft_service_caller.h"
#include "skylarkcroft/platform/skylarkcroft_table_codec.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

constexpr int kBadRequest = 400;
constexpr int kTooManyRequests = 429;

http_request MakeRequest(const std::string& operation, const json& body) {
  return {"POST",
          "/",
          {{"X-Amz-Target", kTableTargetPrefix + operation},
           {"Content-Type", "application/x-amz-json-1.0"}},
          body.dump()};
}

json EncodeWrite(const row_write& write) {
  json element = {{"TableName", kTableName}};
  if (write.what == row_write::kind::kPut) {
    element["Item"] = EncodeRow(write.row);
  } else {
    element["Key"] = EncodeKey(write.row.key);
  }
  if (write.expected_version == 0) {
    element["ConditionExpression"] = "attribute_not_exists(pk)";
  } else if (write.expected_version.has_value()) {
    element["ConditionExpression"] = "ver = :v";
    element["ExpressionAttributeValues"] = {
        {":v", EncodeNumber(*write.expected_version)}};
  }
  switch (write.what) {
    case row_write::kind::kPut:
      return {{"Put", element}};
    case row_write::kind::kDelete:
      return {{"Delete", element}};
    case row_write::kind::kCheck:
      break;
  }
  return {{"ConditionCheck", element}};
}

// A cancelled transaction wrote nothing. Without a failed condition the cause
// is contention or a limit, and a repeat may succeed.
write_result ReadCancellation(const json& answer) {
  write_result result{write_outcome::kRejected, {}};
  const json reasons = answer.value("CancellationReasons", json::array());
  for (size_t index = 0; index < reasons.size(); ++index) {
    if (reasons[index].value("Code", "") != "ConditionalCheckFailed") {
      continue;
    }
    result.outcome = write_outcome::kConflict;
    result.conflicts.push_back(index);
  }
  return result;
}

write_result ReadRefusal(const std::string& body) {
  try {
    const json answer = ParseBoundedJson(body);
    const std::string type = answer.value("__type", "");
    if (type.empty() || type.ends_with("TransactionInProgressException")) {
      return {write_outcome::kUnknown, {}};
    }
    if (type.ends_with("TransactionCanceledException")) {
      return ReadCancellation(answer);
    }
    return {write_outcome::kRejected, {}};
  } catch (const json::exception&) {
    return {write_outcome::kUnknown, {}};
  }
}

write_result ReadWriteAnswer(const http_result& result) {
  if (result.Ok()) {
    return {write_outcome::kCommitted, {}};
  }
  if (!result.may_have_been_sent) {
    return {write_outcome::kRejected, {}};
  }
  if (result.outcome != http_outcome::kComplete) {
    return {write_outcome::kUnknown, {}};
  }
  if (result.response.status == kTooManyRequests) {
    return {write_outcome::kRejected, {}};
  }
  if (result.response.status == kBadRequest) {
    return ReadRefusal(result.response.body);
  }
  return {write_outcome::kUnknown, {}};
}

read_result ReadGetAnswer(const http_result& result) {
  if (!result.Ok()) {
    return {};
  }
  try {
    const json answer = ParseJson(result.response.body);
    const json_reader reader(answer, "$");
    if (!reader.Has("Item")) {
      return {read_outcome::kMissing, {}};
    }
    return {read_outcome::kFound,
            DecodeRow(reader.Member("Item"), reader.PathOf("Item"))};
  } catch (const config_error&) {
    return {};
  }
}

// One answer to a Query operation; `next` is where the following page starts.
struct query_page {
  std::vector<table_row> rows;
  std::optional<row_key> next;
};

query_page ReadPage(const std::string& body) {
  const json answer = ParseJson(body);
  const json_reader reader(answer, "$");
  reader.Require("Items");
  query_page page;
  reader.Each("Items", [&](const json& item, const std::string& path) {
    page.rows.push_back(DecodeRow(item, path));
  });
  if (reader.Has("LastEvaluatedKey")) {
    page.next = DecodeKey(reader.Member("LastEvaluatedKey"),
                          reader.PathOf("LastEvaluatedKey"));
  }
  return page;
}

std::optional<query_page> ReadPageAnswer(const http_result& result) {
  if (!result.Ok()) {
    return std::nullopt;
  }
  try {
    return ReadPage(result.response.body);
  } catch (const config_error&) {
    return std::nullopt;
  }
}

// A query under way, over all its pages.
struct query_state {
  row_query query;
  query_done_fn done;
  query_result result;
};

json EncodeQuery(const query_state& state,
                 const std::optional<row_key>& start) {
  const row_query& query = state.query;
  std::string condition = "pk = :p";
  json values = {{":p", EncodeText(query.partition)}};
  if (!query.sort_prefix.empty()) {
    condition += " AND begins_with(sk, :s)";
    values[":s"] = EncodeText(query.sort_prefix);
  } else if (!query.after.empty()) {
    condition += " AND sk > :a";
    values[":a"] = EncodeText(query.after);
  }
  json body = {{"TableName", kTableName},
               {"ConsistentRead", true},
               {"KeyConditionExpression", condition},
               {"ExpressionAttributeValues", values},
               {"Limit", query.limit - state.result.rows.size()}};
  if (start.has_value()) {
    body["ExclusiveStartKey"] = EncodeKey(*start);
  }
  return body;
}

// The service takes a start key only from within the queried range.
std::optional<row_key> FirstStartKey(const row_query& query) {
  if (query.sort_prefix.empty() || query.after.empty() ||
      !query.after.starts_with(query.sort_prefix)) {
    return std::nullopt;
  }
  return row_key{query.partition, query.after};
}

class table_service_client final : public table_service {
 public:
  table_service_client(http_client& client, const endpoint& address,
                       milliseconds timeout)
      : caller_(client, address, timeout) {}

  void Get(const row_key& key, read_done_fn done) override {
    const json body = {{"TableName", kTableName},
                       {"ConsistentRead", true},
                       {"Key", EncodeKey(key)}};
    caller_.Send(MakeRequest("GetItem", body),
                 [done = std::move(done)](const http_result& result) {
                   done(ReadGetAnswer(result));
                 });
  }

  void Query(const row_query& query, query_done_fn done) override {
    auto state = std::make_shared<query_state>();
    state->query = query;
    state->done = std::move(done);
    FetchPage(state, FirstStartKey(query));
  }

  void Write(const std::vector<row_write>& writes, const std::string& token,
             write_done_fn done) override {
    json items = json::array();
    for (const row_write& write : writes) {
      items.push_back(EncodeWrite(write));
    }
    const json body = {{"TransactItems", std::move(items)},
                       {"ClientRequestToken", token}};
    caller_.Send(MakeRequest("TransactWriteItems", body),
                 [done = std::move(done)](const http_result& result) {
                   done(ReadWriteAnswer(result));
                 });
  }

 private:
  using query_state_ptr = std::shared_ptr<query_state>;

  void FetchPage(const query_state_ptr& state,
                 const std::optional<row_key>& start) {
    caller_.Send(
        MakeRequest("Query", EncodeQuery(*state, start)),
        [this, state](const http_result& result) { TakePage(state, result); });
  }

  void TakePage(const query_state_ptr& state, const http_result& result) {
    std::optional<query_page> page = ReadPageAnswer(result);
    if (!page.has_value()) {
      state->done({});
      return;
    }
    std::vector<table_row>& rows = state->result.rows;
    const std::string& after = state->query.after;
    for (table_row& row : page->rows) {
      if (!after.empty() && row.key.sort <= after) {
        continue;
      }
      rows.push_back(std::move(row));
    }
    if (page->next.has_value() && rows.size() < state->query.limit) {
      FetchPage(state, page->next);
      return;
    }
    state->result.available = true;
    state->done(state->result);
  }

  service_caller caller_;
};

}  // namespace

std::unique_ptr<table_service> MakeTableServiceClient(http_client& client,
                                                      const endpoint& address,
                                                      milliseconds timeout) {
  return std::make_unique<table_service_client>(client, address, timeout);
}

}  // namespace skylarkcroft

#include "standins/platform/skylarkcroft_table_handler.h"

#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"
#include "skylarkcroft/platform/skylarkcroft_table_codec.h"

namespace skylarkcroft::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int64_t kMaxQueryLimit = 1000000;
constexpr char kErrorPrefix[] = "com.amazonaws.dynamodb.v20120810#";

http_response TableError(const std::string& type, const std::string& message) {
  return JsonResponse(kBadRequest,
                      {{"__type", kErrorPrefix + type}, {"message", message}});
}

void CheckTable(const json_reader& reader) {
  if (reader.String("TableName") != kTableName) {
    throw config_error(reader.PathOf("TableName"), "is not a table here",
                       std::string("use ") + kTableName);
  }
}

void CheckConsistent(const json_reader& reader) {
  if (!reader.BoolOr("ConsistentRead", false)) {
    throw config_error(reader.PathOf("ConsistentRead"), "is not true",
                       "ask for a consistent read");
  }
}

// Value of placeholder `name` in ExpressionAttributeValues.
const json& Placeholder(const json_reader& reader, const char* name) {
  const json& values = reader.Member("ExpressionAttributeValues");
  return json_reader(values, reader.PathOf("ExpressionAttributeValues"),
                     {":p", ":s", ":a", ":b", ":v"})
      .Member(name);
}

std::string TextPlaceholder(const json_reader& reader, const char* name) {
  return DecodeText(Placeholder(reader, name), reader.PathOf(name));
}

row_range ReadRange(const json_reader& reader) {
  row_range range;
  range.partition = TextPlaceholder(reader, ":p");
  const std::string condition = reader.String("KeyConditionExpression");
  if (condition == "pk = :p AND begins_with(sk, :s)") {
    range.prefix = TextPlaceholder(reader, ":s");
  } else if (condition == "pk = :p AND sk > :a") {
    range.after = TextPlaceholder(reader, ":a");
  } else if (condition == "pk = :p AND sk BETWEEN :a AND :b") {
    range.first = TextPlaceholder(reader, ":a");
    range.last = TextPlaceholder(reader, ":b");
  } else if (condition != "pk = :p") {
    throw config_error(reader.PathOf("KeyConditionExpression"),
                       "is outside the supported subset",
                       "use a condition of the platform protocol");
  }
  return range;
}

std::optional<int64_t> ReadCondition(const json_reader& reader) {
  if (!reader.Has("ConditionExpression")) {
    return std::nullopt;
  }
  const std::string condition = reader.String("ConditionExpression");
  if (condition == "attribute_not_exists(pk)") {
    return 0;
  }
  if (condition == "ver = :v") {
    return DecodeNumber(Placeholder(reader, ":v"), reader.PathOf(":v"));
  }
  throw config_error(reader.PathOf("ConditionExpression"),
                     "is outside the supported subset",
                     "use attribute_not_exists(pk) or ver = :v");
}

row_write ReadPut(const json& element, const std::string& path) {
  const json_reader reader(element, path,
                           {"TableName", "Item", "ConditionExpression",
                            "ExpressionAttributeValues"});
  CheckTable(reader);
  return {row_write::kind::kPut,
          DecodeRow(reader.Member("Item"), reader.PathOf("Item")),
          ReadCondition(reader)};
}

row_write ReadKeyed(row_write::kind what, const json& element,
                    const std::string& path) {
  const json_reader reader(
      element, path,
      {"TableName", "Key", "ConditionExpression", "ExpressionAttributeValues"});
  CheckTable(reader);
  table_row row;
  row.key = DecodeKey(reader.Member("Key"), reader.PathOf("Key"));
  return {what, row, ReadCondition(reader)};
}

row_write ReadWrite(const json& element, const std::string& path) {
  const json_reader reader(element, path, {"Put", "Delete", "ConditionCheck"});
  if (element.size() != 1) {
    throw config_error(path, "does not hold one operation",
                       "use one of Put, Delete and ConditionCheck");
  }
  if (reader.Has("Put")) {
    return ReadPut(reader.Member("Put"), reader.PathOf("Put"));
  }
  if (reader.Has("Delete")) {
    return ReadKeyed(row_write::kind::kDelete, reader.Member("Delete"),
                     reader.PathOf("Delete"));
  }
  return ReadKeyed(row_write::kind::kCheck, reader.Member("ConditionCheck"),
                   reader.PathOf("ConditionCheck"));
}

http_response Cancellation(const write_result& result, size_t writes) {
  json reasons = json::array();
  for (size_t index = 0; index < writes; ++index) {
    reasons.push_back({{"Code", "None"}});
  }
  for (const size_t index : result.conflicts) {
    reasons[index]["Code"] = "ConditionalCheckFailed";
  }
  return JsonResponse(
      kBadRequest,
      {{"__type", std::string(kErrorPrefix) + "TransactionCanceledException"},
       {"message", "a condition failed"},
       {"CancellationReasons", reasons}});
}

}  // namespace

table_handler::table_handler(table_store& store, double reads_per_s,
                             double writes_per_s)
    : store_(store), read_rate_(reads_per_s), write_rate_(writes_per_s) {}

http_response table_handler::Throttled() const {
  return TableError("ProvisionedThroughputExceededException",
                    "the rate of the table was exceeded");
}

http_response table_handler::BadRequest(const std::string& message) const {
  return TableError("ValidationException", message);
}

http_response table_handler::Answer(const http_request& request,
                                    time_point now) {
  if (request.method != "POST") {
    return MethodNotAllowed();
  }
  const std::string target = request.headers.Get("X-Amz-Target");
  const std::string operation =
      target.starts_with(kTableTargetPrefix)
          ? target.substr(std::string(kTableTargetPrefix).size())
          : "";
  const json body = ParseJson(request.body);
  if (operation == "TransactWriteItems") {
    return write_rate_.Take(now) ? Transact(body, now) : Throttled();
  }
  if (operation != "GetItem" && operation != "Query") {
    return TableError("UnknownOperationException", "'" + target + "'");
  }
  if (!read_rate_.Take(now)) {
    return Throttled();
  }
  return operation == "GetItem" ? GetItem(body) : Query(body);
}

http_response table_handler::GetItem(const json& body) {
  const json_reader reader(body, "$", {"TableName", "ConsistentRead", "Key"});
  CheckTable(reader);
  CheckConsistent(reader);
  ++counters().reads;
  const std::optional<table_row> row =
      store_.Get(DecodeKey(reader.Member("Key"), reader.PathOf("Key")));
  json answer = json::object();
  if (row.has_value()) {
    answer["Item"] = EncodeRow(*row);
  }
  return JsonResponse(kOk, answer);
}

http_response table_handler::Query(const json& body) {
  const json_reader reader(
      body, "$",
      {"TableName", "ConsistentRead", "KeyConditionExpression",
       "ExpressionAttributeValues", "Limit", "ExclusiveStartKey"});
  CheckTable(reader);
  CheckConsistent(reader);
  row_range range = ReadRange(reader);
  range.limit = static_cast<size_t>(
      reader.IntOr("Limit", {1, kMaxQueryLimit}, kMaxQueryLimit));
  if (reader.Has("ExclusiveStartKey")) {
    const row_key start = DecodeKey(reader.Member("ExclusiveStartKey"),
                                    reader.PathOf("ExclusiveStartKey"));
    range.after = std::max(range.after, start.sort);
  }
  ++counters().reads;
  const row_page page = store_.Query(range);
  json items = json::array();
  for (const table_row& row : page.rows) {
    items.push_back(EncodeRow(row));
  }
  json answer = {{"Items", items}, {"Count", items.size()}};
  if (page.more) {
    answer["LastEvaluatedKey"] = EncodeKey(page.rows.back().key);
  }
  return JsonResponse(kOk, answer);
}

http_response table_handler::Transact(const json& body, time_point now) {
  const json_reader reader(body, "$", {"TransactItems", "ClientRequestToken"});
  std::vector<row_write> writes;
  reader.Each("TransactItems", [&](const json& item, const std::string& path) {
    writes.push_back(ReadWrite(item, path));
  });
  ++counters().writes;
  const write_result result =
      store_.Transact(writes, reader.StringOr("ClientRequestToken", ""), now);
  if (result.outcome == write_outcome::kConflict) {
    return Cancellation(result, writes.size());
  }
  return JsonResponse(kOk, json::object());
}

}  // namespace skylarkcroft::standin

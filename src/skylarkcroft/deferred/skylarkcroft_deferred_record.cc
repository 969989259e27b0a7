#include "skylarkcroft/deferred/skylarkcroft_deferred_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/internal/skylarkcroft_digest.h"

namespace skylarkcroft {
namespace {

constexpr const char* kDeferredIdMarker = ".d";

nlohmann::json EncodeHeaders(const http_headers& headers) {
  nlohmann::json fields = nlohmann::json::array();
  for (const header_view field : headers.fields()) {
    fields.push_back({field.name, field.value});
  }
  return fields;
}

http_headers DecodeHeaders(const nlohmann::json& fields) {
  http_headers headers;
  for (const nlohmann::json& field : fields) {
    headers.Add(field.at(0).get<std::string>(), field.at(1).get<std::string>());
  }
  return headers;
}

std::string Dump(const nlohmann::json& document) {
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

}  // namespace

bool IsDeferredId(const std::string& request_id) {
  const size_t last = request_id.rfind('.');
  return last != std::string::npos &&
         request_id.compare(last, 2, kDeferredIdMarker) == 0;
}

std::string MakeDeferredId(const std::string& owner, uint64_t number) {
  return owner + kDeferredIdMarker + std::to_string(number);
}

size_t ShardOf(const std::string& id) {
  constexpr int kHexBase = 16;
  return std::stoul(Sha256Hex(id).substr(0, 4), nullptr, kHexBase) %
         kDeferredShards;
}

std::vector<size_t> ShardsOf(const std::string& node,
                             const std::vector<std::string>& nodes) {
  std::vector<size_t> shards;
  for (size_t shard = 0; shard < kDeferredShards; ++shard) {
    const auto weight = [shard](const std::string& name) {
      return Sha256Hex(name + "/" + std::to_string(shard));
    };
    const std::string own = weight(node);
    const bool highest = std::all_of(
        nodes.begin(), nodes.end(),
        [&](const std::string& other) { return weight(other) <= own; });
    if (highest) {
      shards.push_back(shard);
    }
  }
  return shards;
}

std::string OpenRequestsPartition(size_t shard) {
  return "deferred-open-" + std::to_string(shard);
}

row_key OpenRequestKey(const std::string& id) {
  return {OpenRequestsPartition(ShardOf(id)), id};
}

row_key OutcomeKey(const std::string& id) { return {"deferred-outcomes", id}; }

row_key WorkerKey(const std::string& worker) {
  return {"deferred-workers", worker};
}

std::string EncodeDeferred(const deferred_request& request) {
  return Dump({{"id", request.id},
               {"caller", request.caller_name},
               {"route", request.route_name},
               {"method", request.original.method},
               {"target", request.original.target},
               {"headers", EncodeHeaders(request.original.headers)},
               {"body", request.original.body},
               {"deadline_ms", request.deadline_ms},
               {"worker", request.worker}});
}

std::optional<deferred_request> DecodeDeferred(const std::string& text) {
  const nlohmann::json document = ParseBoundedJson(text);
  try {
    deferred_request request;
    request.id = document.at("id").get<std::string>();
    request.caller_name = document.at("caller").get<std::string>();
    request.route_name = document.at("route").get<std::string>();
    request.original.method = document.at("method").get<std::string>();
    request.original.target = document.at("target").get<std::string>();
    request.original.headers = DecodeHeaders(document.at("headers"));
    request.original.body = document.at("body").get<std::string>();
    request.deadline_ms = document.at("deadline_ms").get<int64_t>();
    request.worker = document.at("worker").get<std::string>();
    return request;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeOutcome(const deferred_outcome& outcome) {
  return Dump({{"id", outcome.id},
               {"caller", outcome.caller_name},
               {"status", outcome.response.status},
               {"headers", EncodeHeaders(outcome.response.headers)},
               {"body", outcome.response.body}});
}

std::optional<deferred_outcome> DecodeOutcome(const std::string& text) {
  const nlohmann::json document = ParseBoundedJson(text);
  try {
    deferred_outcome outcome;
    outcome.id = document.at("id").get<std::string>();
    outcome.caller_name = document.at("caller").get<std::string>();
    outcome.response.status = document.at("status").get<int>();
    outcome.response.headers = DecodeHeaders(document.at("headers"));
    outcome.response.body = document.at("body").get<std::string>();
    return outcome;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace skylarkcroft

#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_OPERATORS_API_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_OPERATORS_API_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"
#include "skylarkcroft/tables/skylarkcroft_edit_propagation.h"
#include "skylarkcroft/tables/skylarkcroft_table_editor.h"

namespace skylarkcroft {

class logger;
class metrics_registry;
class active_tables;

/// What the operators' API works with; all outlive it.
struct operators_environment {
  active_tables& tables;
  table_editor& editor;
  table_service& store;
  metrics_registry& metrics;
  logger& log;
  /// SHA-256 digest of the operators' bearer key; empty asks for none.
  std::string key_digest;
  /// The document of `GET /operators/status`.
  std::function<nlohmann::json()> status;
  /// The document of `GET /operators/requests`.
  std::function<nlohmann::json()> requests;
  /// Calls back once every live node serves under `revision` or is kept from
  /// serving, or the wait has ended.
  std::function<void(int64_t revision, std::function<void(edit_propagation)>)>
      await_spread;
};

/// The HTTP interface for operators, docs/operators-api.md.
class operators_api {
 public:
  explicit operators_api(operators_environment environment);

  void OnRequest(const http_exchange_ptr& exchange);

 private:
  void OnTable(const http_exchange_ptr& exchange, table_kind table);
  void OnPut(const http_exchange_ptr& exchange, table_kind table);
  void OnEdited(const http_exchange_ptr& exchange, const edit_result& result);
  void OnHistory(const http_exchange_ptr& exchange, table_kind table);
  void OnOldRevision(const http_exchange_ptr& exchange, table_kind table,
                     int64_t revision);
  void OnLogLevel(const http_exchange_ptr& exchange);
  [[nodiscard]] bool Allowed(const http_request& request) const;

  operators_environment environment_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_OPERATORS_API_H_

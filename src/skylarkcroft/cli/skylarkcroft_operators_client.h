#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_OPERATORS_CLIENT_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_OPERATORS_CLIENT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"

namespace skylarkcroft {

/// Calls the operators' API of one node and waits for each answer.
class operators_client {
 public:
  /// `key` is the operators' bearer key; empty sends none.
  operators_client(endpoint node, std::string key);

  /// Throws unreachable_error when no byte of the request was sent.
  [[nodiscard]] http_result Send(http_request request) const;
  /// JSON answer to a GET. Throws unreachable_error without an answer and
  /// refused_error for any status but 200.
  [[nodiscard]] nlohmann::json Get(const std::string& target) const;

 private:
  endpoint node_;
  std::string key_;
};

/// Body of `response` as JSON; null when it is not JSON.
nlohmann::json ParseBody(const http_response& response);

/// Throws refused_error with the node's own words.
[[noreturn]] void ThrowRefused(const http_response& response);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_OPERATORS_CLIENT_H_

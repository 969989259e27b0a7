#ifndef TESTS_NODE_NODE_FIXTURE_H_
#define TESTS_NODE_NODE_FIXTURE_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_digest.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/log/skylarkcroft_logger.h"
#include "skylarkcroft/node/skylarkcroft_node.h"
#include "skylarkcroft/node/skylarkcroft_settings.h"
#include "standins/engine/engine_standin.h"
#include "standins/plain_service/plain_service_standin.h"
#include "standins/platform/skylarkcroft_platform_standin.h"

namespace skylarkcroft {

inline constexpr const char* kTestKey = "key-of-dispatch";
inline constexpr milliseconds kWaitLimit{20000};
inline constexpr size_t kServiceCount = 2;
inline const endpoint kFreePort{"127.0.0.1", 0};

/// Real nodes, engines and the platform's services in one process, on one loop.
class node_fixture {
 public:
  explicit node_fixture(size_t node_count = 1, size_t engine_count = 2)
      : services(MakeServices()),
        platform_(loop, standin::platform_options{}),
        log_(loop, QuietLog()),
        client(loop) {
    for (size_t index = 0; index < engine_count; ++index) {
      engines.push_back(std::make_unique<standin::engine_standin>(
          loop, EngineOptions(), SteadyNow));
    }
    for (size_t index = 0; index < node_count; ++index) {
      AddNode();
    }
  }

  /// Starts one more node.
  node& AddNode() {
    settings config;
    config.name = "n" + std::to_string(nodes.size() + 1);
    config.availability_zone = "cairo-a";
    config.region = "cairo";
    config.callers_address = kFreePort;
    config.operators_address = kFreePort;
    config.mesh_address = kFreePort;
    config.platform.tables = platform_.address();
    config.platform.objects = platform_.address();
    config.platform.hosts = platform_.address();
    config.platform.cloud = platform_.address();
    config.platform.weights = platform_.address();
    config.tables = tables;
    config.mesh_key = "shared";
    if (!nodes.empty() && seek_first) {
      config.peers = {nodes.front()->mesh_address()};
    }
    config.shutdown = shutdown;
    config.deferred = deferred;
    nodes.push_back(std::make_unique<node>(loop, config, log_));
    return *nodes.back();
  }

  /// Puts tables that route the test key to the engines, and waits until every
  /// node is ready.
  void PutTables() {
    Put("pools", PoolsDocument());
    Put("routes", RoutesDocument());
    for (const auto& one : nodes) {
      Until(
          [&] { return Get(one->callers_address(), "/readyz").status == 200; });
      Until([&] { return RevisionOf(*one) == 2; });
    }
  }

  int64_t RevisionOf(const node& one) {
    const http_response reply =
        Get(one.operators_address(), "/operators/status");
    const nlohmann::json status = nlohmann::json::parse(reply.body);
    return status.at("revision").get<int64_t>();
  }

  nlohmann::json RoutesDocument() const {
    return {{"callers",
             {{{"name", "dispatch"}, {"key_sha256", {Sha256Hex(kTestKey)}}}}},
            {"routes",
             {{{"name", "ask"},
               {"path_prefix", "/v1/"},
               {"pool", "assistant"},
               {"rank", "urgent"}},
              {{"name", "orders"},
               {"path_prefix", "/orders"},
               {"pool", "orders"},
               {"deadline_ms", 4000}}}}};
  }

  nlohmann::json PoolsDocument() const {
    nlohmann::json upstreams = nlohmann::json::array();
    size_t number = 1;
    for (const auto& engine : engines) {
      upstreams.push_back({{"name", "e" + std::to_string(number++)},
                           {"address", ToString(engine->address())},
                           {"availability_zone", "cairo-a"}});
    }
    nlohmann::json service_upstreams = nlohmann::json::array();
    for (const auto& service : services) {
      service_upstreams.push_back({{"name", "s" + std::to_string(number++)},
                                   {"address", ToString(service->address())},
                                   {"availability_zone", "cairo-b"}});
    }
    return {{"pools",
             {{{"name", "assistant"},
               {"retry", {{"progress_timeout_ms", 500}}},
               {"upstreams", upstreams}},
              {{"name", "orders"},
               {"kind", "service"},
               {"outcomes_readable", outcomes_readable},
               {"retry", {{"progress_timeout_ms", 500}}},
               {"upstreams", service_upstreams}}}}};
  }

  /// Sets a fault of a stand-in by its administration path.
  void SetFault(const endpoint& standin, const nlohmann::json& fault) {
    http_request request;
    request.method = "POST";
    request.target = "/admin/fault";
    request.body = fault.dump();
    static_cast<void>(Call(standin, request));
  }
  [[nodiscard]] const endpoint& platform_address() const {
    return platform_.address();
  }
  /// An administration call of the platform's stand-in.
  void PostPlatform(const std::string& target, const nlohmann::json& body) {
    http_request request;
    request.method = "POST";
    request.target = target;
    request.body = body.dump();
    static_cast<void>(Call(platform_.address(), request));
  }
  void SetPlatformFault(const nlohmann::json& fault) {
    SetFault(platform_.address(), fault);
  }

  /// A non-idempotent request with the test key; `key` may be empty.
  static http_request Order(const std::string& key, const std::string& body) {
    http_request request;
    request.method = "POST";
    request.target = "/orders";
    request.headers.Add("Authorization", std::string("Bearer ") + kTestKey);
    if (!key.empty()) {
      request.headers.Add("Idempotency-Key", key);
    }
    request.body = body;
    return request;
  }

  /// Runs of an idempotency key over all plain services.
  int64_t RunsOf(const std::string& key) const {
    int64_t runs = 0;
    for (const auto& service : services) {
      const auto counted = service->stats().runs;
      const auto found = counted.find(key);
      runs += found == counted.end() ? 0 : found->second;
    }
    return runs;
  }
  /// Runs over all plain services and keys.
  int64_t AllRuns() const {
    int64_t runs = 0;
    for (const auto& service : services) {
      for (const auto& [key, count] : service->stats().runs) {
        runs += count;
      }
    }
    return runs;
  }

  http_response Put(const std::string& table, const nlohmann::json& document) {
    http_request request;
    request.method = "PUT";
    request.target = "/operators/" + table;
    request.body = document.dump();
    return Call(nodes.front()->operators_address(), request);
  }

  http_response Get(const endpoint& address, const std::string& target) {
    http_request request;
    request.target = target;
    return Call(address, request);
  }

  /// A completion request with the test key.
  static http_request Completion(const std::string& prompt, int max_tokens,
                                 bool stream) {
    http_request request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers.Add("Authorization", std::string("Bearer ") + kTestKey);
    request.body = nlohmann::json({{"model", "m"},
                                   {"prompt", prompt},
                                   {"max_tokens", max_tokens},
                                   {"stream", stream}})
                       .dump();
    return request;
  }

  /// The whole response; status 0 when there was none.
  http_response Call(const endpoint& address, const http_request& request) {
    std::optional<http_result> ended;
    const http_call_ptr call = client.Send(
        address, request, {},
        {{}, {}, [&](const http_result& result) { ended = result; }});
    // A node that has drained stops the loop that it shares with the test.
    static_cast<void>(Until([&] { return ended.has_value(); }));
    if (!ended || ended->outcome != http_outcome::kComplete) {
      return {};
    }
    return ended->response;
  }

  /// Runs the loop until `condition` holds; false when it never did.
  bool Until(const std::function<bool()>& condition) {
    const time_point limit = SteadyNow() + kWaitLimit;
    while (!condition()) {
      if (SteadyNow() > limit) {
        return false;
      }
      loop.RunFor(milliseconds(5));
    }
    return true;
  }

 private:
  static log_options QuietLog() {
    log_options options;
    options.level = log_level::kError;
    return options;
  }

  std::vector<std::unique_ptr<standin::plain_service_standin>> MakeServices() {
    std::vector<std::unique_ptr<standin::plain_service_standin>> made;
    made.reserve(kServiceCount);
    for (size_t index = 0; index < kServiceCount; ++index) {
      made.push_back(std::make_unique<standin::plain_service_standin>(
          loop, standin::plain_service_options{}, SteadyNow));
    }
    return made;
  }

  static standin::engine_options EngineOptions() {
    standin::engine_options options;
    options.load_lag = milliseconds(50);
    options.speeds.first_token = milliseconds(5);
    options.speeds.token = milliseconds(5);
    return options;
  }

 public:
  event_loop loop;
  std::vector<std::unique_ptr<standin::plain_service_standin>> services;
  bool outcomes_readable = false;
  /// Of nodes that are added from now on.
  shutdown_settings shutdown{milliseconds(50), milliseconds(120000)};
  deferred_options deferred{milliseconds(50), milliseconds(400),
                            milliseconds(50), milliseconds(50)};
  /// Whether nodes added from now on have the first as a peer.
  bool seek_first = true;
  /// Of the nodes added from now on.
  table_settings tables{milliseconds(50), milliseconds(3000)};

 private:
  standin::platform_standin platform_;
  logger log_;

 public:
  http_client client;
  std::vector<std::unique_ptr<standin::engine_standin>> engines;
  std::vector<std::unique_ptr<node>> nodes;
};

}  // namespace skylarkcroft

#endif  // TESTS_NODE_NODE_FIXTURE_H_

#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_FRONT_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_FRONT_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "skylarkcroft/attempt/skylarkcroft_accepted_request.h"
#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/http/skylarkcroft_problem.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/node/skylarkcroft_answer_writer.h"
#include "skylarkcroft/node/skylarkcroft_request_registry.h"
#include "skylarkcroft/node/skylarkcroft_settings.h"

namespace skylarkcroft {

class caller_limiter;
class deferred_worker;
class node_metrics;
class request_runner;
class active_tables;

/// What the front of a node works with; all outlive it.
struct front_environment {
  event_loop& loop;
  const settings& config;
  active_tables& tables;
  request_registry& registry;
  request_runner& runner;
  node_metrics& metrics;
  caller_limiter& limits;
  clock_fn clock;
  wall_clock_fn wall_clock;
  /// Text that differs for each start of the process.
  std::string incarnation;
  /// Passes a read of a request that is not here on to the node that has it;
  /// false when none is known to.
  std::function<bool(const http_exchange_ptr& exchange,
                     const std::string& request_id)>
      read_elsewhere;
  /// The deferred work of this node.
  std::function<deferred_worker&()> deferred;
};

/// Takes callers' requests: names them, checks the caller, the route and the
/// limits, has them run, and writes their answers.
class front {
 public:
  explicit front(front_environment environment);
  ~front();
  front(const front&) = delete;
  front& operator=(const front&) = delete;

  void OnRequest(const http_exchange_ptr& exchange);

  /// Refuses new requests from now on; those accepted go on.
  void RefuseNew();
  /// True while the node takes requests and its tables are current.
  [[nodiscard]] bool Ready(time_point now) const;
  void SetReady(bool ready) { ready_ = ready; }
  /// Answers still being written.
  [[nodiscard]] size_t open_writers() const { return writers_.size(); }

 private:
  void OnNew(const http_exchange_ptr& exchange, time_point now);
  void OnRead(const http_exchange_ptr& exchange, time_point now);
  void Defer(const http_exchange_ptr& exchange, const accepted_request& request,
             time_point now);
  void ReadDeferred(const http_exchange_ptr& exchange, const std::string& id,
                    const std::string& caller_name);
  void Accept(const http_exchange_ptr& exchange, accepted_request request,
              time_point now);
  void Attach(const http_exchange_ptr& exchange, const request_entry& entry,
              const answer_form& form);
  void OnWriterEnd(const std::string& id, bool delivered);
  void Refuse(const http_exchange_ptr& exchange, const problem& why);
  [[nodiscard]] const caller* Authenticate(const http_request& request,
                                           const table_set& tables) const;
  std::string NextId();

  front_environment environment_;
  std::list<std::unique_ptr<answer_writer>> writers_;
  uint64_t next_number_ = 1;
  bool ready_ = true;
  bool refusing_ = false;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_FRONT_H_

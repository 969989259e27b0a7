#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_ENVIRONMENT_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_ENVIRONMENT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "skylarkcroft/admission/skylarkcroft_service_admission.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/limits/skylarkcroft_quota_priority.h"
#include "skylarkcroft/limits/skylarkcroft_service_retry_budget.h"
#include "skylarkcroft/limits/skylarkcroft_token_quotas.h"
#include "skylarkcroft/placement/skylarkcroft_load_balancer.h"
#include "skylarkcroft/quarantine/skylarkcroft_part_quarantine.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_quarantine.h"
#include "skylarkcroft/relay/skylarkcroft_attempt_record.h"
#include "skylarkcroft/relay/skylarkcroft_client_end.h"
#include "skylarkcroft/relay/skylarkcroft_header_names.h"
#include "skylarkcroft/relay/skylarkcroft_memory_account.h"
#include "skylarkcroft/relay/skylarkcroft_relay_parameters.h"
#include "skylarkcroft/relay/skylarkcroft_request_record.h"
#include "skylarkcroft/relay/skylarkcroft_upstream_connections.h"
#include "skylarkcroft/service/skylarkcroft_request_gate.h"

namespace skylarkcroft {

class event_loop;
class rollout_coordinator;
class stream_versions;

/// Dependencies shared by all requests of a node. Everything referenced must
/// outlive the requests.
struct relay_environment {
  event_loop& loop;
  load_balancer& balancer;
  upstream_connections& connections;
  token_quotas& quotas;
  quota_priority& quota_order;
  service_admission& service_order;
  service_retry_budget& retries;
  part_quarantine& quarantine;
  request_quarantine& crashing_requests;
  header_names names;
  relay_parameters parameters;
  gate_parameters gate;
  quota_tolerance quota_overage;
  std::string availability_zone;
  clock_fn clock;
  std::function<tables_snapshot()> active_tables;
  /// Number of nodes known, including this one.
  std::function<size_t()> node_count;
  /// A random number, uniform in [0, 1).
  std::function<double()> uniform_random;
  /// Time since shutdown was requested; negative if it was not.
  std::function<milliseconds()> time_since_shutdown;
  /// Called once per request of a workspace, when its execution is first known
  /// to have started.
  std::function<void(const std::string& workspace)> on_execution_started;
  /// Called when an upstream has told in a response to `request_id` that it
  /// leaves or wants a pause, and for how long that allows or forbids requests.
  std::function<void(std::string_view what, const std::string& upstream,
                     const std::string& request_id, milliseconds duration)>
      on_announcement;
  /// Called when a quarantine may have something to tell the peers.
  std::function<void()> on_quarantine_changed;
  /// Called for each failed attempt.
  std::function<void(const attempt_record&)> on_attempt_failed;
  /// Called once per request, when it has ended.
  std::function<void(const request_record&)> on_request_ended;
  /// Called once per client connection that this node ends.
  std::function<void(const client_end&)> on_client_ended =
      [](const client_end&) {};
  /// Called when the node gives connections up because its memory is short.
  std::function<void(const memory_relief&)> on_memory_relief =
      [](const memory_relief&) {};
  /// The memory that the node holds for clients.
  std::shared_ptr<memory_account> memory = std::make_shared<memory_account>();
  /// Null if the deployment has no rollouts.
  rollout_coordinator* rollouts = nullptr;
  /// Null where the origins of streams are not recorded; none is taken up then.
  stream_versions* streams = nullptr;
};

/// The limits for clients of the active tables, or the default ones before the
/// first tables are known.
inline client_limits LimitsInForce(const relay_environment& environment) {
  const tables_snapshot view = environment.active_tables();
  return view.tables == nullptr ? client_limits{} : view.tables->map().limits;
}

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_ENVIRONMENT_H_

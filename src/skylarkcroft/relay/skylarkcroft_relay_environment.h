#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_ENVIRONMENT_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_ENVIRONMENT_H_

#include <functional>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/limits/skylarkcroft_repeat_allowance.h"
#include "skylarkcroft/limits/skylarkcroft_token_allotments.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_board.h"
#include "skylarkcroft/relay/skylarkcroft_header_names.h"
#include "skylarkcroft/relay/skylarkcroft_relay_terms.h"
#include "skylarkcroft/relay/skylarkcroft_request_record.h"
#include "skylarkcroft/relay/skylarkcroft_upstream_links.h"
#include "skylarkcroft/service/skylarkcroft_request_gate.h"

namespace skylarkcroft {

class event_loop;

/// What every request of a node works with; all outlive the requests.
struct relay_environment {
  event_loop& loop;
  upstream_board& board;
  upstream_links& links;
  token_allotments& allotments;
  repeat_allowance& repeats;
  header_names names;
  relay_terms terms;
  gate_terms gate;
  allotment_tolerance allotment_overage;
  std::string availability_zone;
  clock_fn clock;
  std::function<gate_view()> tables;
  /// Nodes known, this one included.
  std::function<size_t()> nodes;
  /// Uniform in [0, 1).
  std::function<double()> draw;
  /// Time since the process was told to stop; negative before.
  std::function<milliseconds()> leaving_for;
  /// A request of a workspace began to run.
  std::function<void(const std::string& workspace)> on_begun;
  std::function<void(const request_record&)> on_ended;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_ENVIRONMENT_H_

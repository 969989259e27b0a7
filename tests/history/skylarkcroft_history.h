#ifndef SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_HISTORY_H_
#define SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_HISTORY_H_

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace skylarkcroft::history {

/// Return time of a call that never returned.
inline constexpr int64_t kNeverMs = std::numeric_limits<int64_t>::max();

/// How a request ended for its caller.
enum class request_outcome {
  kAnswered,       ///< A whole answer, by the protocol's own end marker.
  kNotRun,         ///< Refused with run_state `not_run`.
  kRan,            ///< Refused with run_state `ran`.
  kUnknown,        ///< Refused with run_state `unknown`.
  kUpstreamError,  ///< The upstream's own error answer, passed on.
  kNotSent,        ///< No connection; no byte left the caller.
  kNone,           ///< Broken, cut short or silent: the caller learned nothing.
};

/// One request as its caller saw it. Times are wall clock milliseconds, here
/// and below; all recorders share one machine's clock.
struct request_event {
  std::string process;
  /// Node the request was sent to.
  std::string node;
  /// What upstreams count runs by: the idempotency key, else the request id.
  std::string key;
  int64_t call_ms = 0;
  int64_t return_ms = kNeverMs;
  request_outcome outcome = request_outcome::kNone;
  /// Reason of a refusal or cause of a loss.
  std::string reason;
  /// Text that the answer must have, and the text that came.
  std::string expected;
  std::string received;

  bool operator==(const request_event&) const = default;
};

/// Runs of one key at one upstream, read at the end from the upstream itself.
struct run_count {
  std::string upstream;
  std::string key;
  int64_t runs = 0;
  /// True for upstreams whose requests may not be repeated.
  bool at_most_once = false;

  bool operator==(const run_count&) const = default;
};

enum class edit_verdict { kAccepted, kRefused, kUnknown };

/// One edit as its operator saw it; `revision` counts when accepted.
struct edit_event {
  std::string process;
  std::string node;
  std::string edit_id;
  int64_t call_ms = 0;
  int64_t return_ms = kNeverMs;
  edit_verdict verdict = edit_verdict::kUnknown;
  int64_t revision = 0;

  bool operator==(const edit_event&) const = default;
};

/// One reading of a node's status.
struct revision_reading {
  std::string node;
  int64_t call_ms = 0;
  int64_t return_ms = kNeverMs;
  int64_t revision = 0;
  /// The node says that it serves callers.
  bool serving = false;

  bool operator==(const revision_reading&) const = default;
};

/// What was done to a node's process.
enum class node_phase {
  kStarting,  ///< About to be started.
  kStopping,  ///< About to be asked for a graceful end.
  kEnded,     ///< Ended by itself after kStopping.
  kKilling,   ///< About to be killed.
  kKilled,    ///< Known to have ended after kKilling.
  kPausing,   ///< About to be paused.
  kResumed,   ///< Runs again after a pause.
};

struct node_event {
  std::string node;
  node_phase phase = node_phase::kStarting;
  int64_t at_ms = 0;

  bool operator==(const node_event&) const = default;
};

/// An upstream has confirmed that it leaves.
struct leave_event {
  std::string upstream;
  int64_t at_ms = 0;

  bool operator==(const leave_event&) const = default;
};

/// Requests that a leaving upstream says it has received since it leaves.
struct leaving_sample {
  std::string upstream;
  int64_t call_ms = 0;
  int64_t return_ms = kNeverMs;
  int64_t received = 0;

  bool operator==(const leaving_sample&) const = default;
};

/// An order that an upstream has acted on.
struct order_event {
  std::string upstream;
  std::string issuer;
  int64_t fence = 0;
  int64_t at_ms = 0;

  bool operator==(const order_event&) const = default;
};

/// All that the participants of one run have recorded.
struct run_history {
  std::vector<request_event> requests;
  std::vector<run_count> runs;
  std::vector<edit_event> edits;
  std::vector<revision_reading> readings;
  std::vector<node_event> nodes;
  std::vector<leave_event> leaves;
  std::vector<leaving_sample> leaving;
  std::vector<order_event> orders;

  bool operator==(const run_history&) const = default;
};

}  // namespace skylarkcroft::history

#endif  // SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_HISTORY_H_

#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_HEADER_NAMES_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_HEADER_NAMES_H_

#include <string>
#include <vector>

namespace skylarkcroft {

/// Names of the headers that the relay reads and sets. They differ between
/// deployments; the deployment's adapter provides them.
struct header_names {
  std::string request_id;
  /// Time until the request's deadline, in milliseconds.
  std::string remaining_ms;
  std::string key;        ///< The client's API key; not sent to upstreams.
  std::string workspace;  ///< Name of the workspace, sent to upstreams.
  /// Id of the upstream that the request is meant for; another process at the
  /// address must not execute it.
  std::string expected_upstream;
  /// Present on responses that an upstream itself has made.
  std::string signature;
  /// Present on a response of an upstream that did not execute the request.
  std::string not_executed;
  /// "1" on the responses of an upstream that leaves.
  std::string leaving;
  std::string last_event_id;
  /// Id of the request whose answer began the stream that a client takes up.
  std::string resumes{};
  std::string token_counts;  ///< Tokens of the request, stated by clients.
  std::string prompt_parts;  ///< Parts of the prompt, stated by clients.
  std::string urgency;       ///< 0 (first) to 9, sent to upstreams.
  /// Further headers that are removed from client requests.
  std::vector<std::string> reserved;

  bool operator==(const header_names&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_HEADER_NAMES_H_

#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_HEADER_NAMES_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_HEADER_NAMES_H_

#include <string>
#include <vector>

namespace skylarkcroft {

/// Names of the headers that the relay reads and sets; the deployment's
/// adapter gives them.
struct header_names {
  std::string request_id;
  std::string remaining_ms;       ///< Time left, in milliseconds.
  std::string key;                ///< A client's key; never passed on.
  std::string workspace;          ///< Set for upstreams.
  std::string expected_upstream;  ///< Id of the only upstream that may run it.
  std::string signature;          ///< An upstream's mark on its own answers.
  std::string not_run;            ///< Marks an answer of one that ran nothing.
  std::string last_event_id;
  std::string token_counts;
  std::string prompt_parts;
  std::string urgency;  ///< 0 (first) to 9, set for upstreams.
  /// Further names that clients may not send on to upstreams.
  std::vector<std::string> reserved;

  bool operator==(const header_names&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_HEADER_NAMES_H_

#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_TOLD_PROBLEM_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_TOLD_PROBLEM_H_

#include <string>
#include <string_view>

namespace skylarkcroft::load {

/// What an RFC 9457 problem document told the caller.
struct told_problem {
  /// Machine-readable reason; `untold` when the document has none.
  std::string reason;
  /// `not_run`, `ran` or `unknown`; `untold` when the document has none.
  std::string run_state;

  bool operator==(const told_problem&) const = default;
};

/// Reads `body`; anything that is no problem document gives `untold` twice.
told_problem ParseProblem(std::string_view body);

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_TOLD_PROBLEM_H_

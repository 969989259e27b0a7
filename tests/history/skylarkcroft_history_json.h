#ifndef SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_HISTORY_JSON_H_
#define SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_HISTORY_JSON_H_

#include <iosfwd>
#include <string>

#include "tests/history/skylarkcroft_history.h"

namespace skylarkcroft::history {

/// Writes one JSON object a line, its member `event` naming the type.
void WriteJsonLines(const run_history& history, std::ostream& out);

/// Adds the events of `in` to `history`, in any order. Throws
/// skylarkcroft::config_error naming the line that is no event.
void ReadJsonLines(std::istream& in, run_history& history);

}  // namespace skylarkcroft::history

#endif  // SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_HISTORY_JSON_H_

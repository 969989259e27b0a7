#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_READABLE_TEXT_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_READABLE_TEXT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace skylarkcroft {

/// `value` for a person to read: one line a member, nested members indented by
/// two spaces, elements of arrays after a dash.
std::string ToReadableText(const nlohmann::json& value);

/// The members of `value` on one line as `key=value`.
std::string ToReadableLine(const nlohmann::json& value);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_READABLE_TEXT_H_

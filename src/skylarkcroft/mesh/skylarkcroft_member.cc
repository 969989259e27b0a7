#include "skylarkcroft/mesh/skylarkcroft_member.h"

#include <array>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {
namespace {

using json = nlohmann::json;

// Throws json::exception or config_error.
member_details Read(const json& fields) {
  member_details details;
  details.mesh = ParseEndpoint(fields.at("m").get<std::string>(), "m");
  details.callers = ParseEndpoint(fields.at("c").get<std::string>(), "c");
  details.operators = ParseEndpoint(fields.at("o").get<std::string>(), "o");
  details.availability_zone = fields.at("z").get<std::string>();
  details.region = fields.at("g").get<std::string>();
  details.is_draining = fields.value("l", false);
  return details;
}

}  // namespace

std::string_view ToString(member_state state) {
  constexpr std::array<std::string_view, 3> kNames = {"alive", "suspect",
                                                      "removed"};
  return kNames[static_cast<size_t>(state)];
}

std::string EncodeMemberDetails(const member_details& details) {
  json fields = {{"m", ToString(details.mesh)},
                 {"c", ToString(details.callers)},
                 {"o", ToString(details.operators)},
                 {"z", details.availability_zone},
                 {"g", details.region}};
  if (details.is_draining) {
    fields["l"] = true;
  }
  std::string payload;
  json::to_msgpack(fields, payload);
  return payload;
}

std::optional<member_details> DecodeMemberDetails(std::string_view payload) {
  try {
    return Read(DecodeBoundedMessagePack(payload));
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const config_error&) {
    return std::nullopt;
  }
}

}  // namespace skylarkcroft

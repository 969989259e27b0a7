#include "skylarkcroft/handover/skylarkcroft_successors.h"

#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

// Maximum number of owners kept; the oldest is dropped.
constexpr size_t kMaxOwners = 4096;

}  // namespace

std::string EncodeDrain(const drain_notice& notice) {
  return nlohmann::json(
             {{"owners", notice.owners}, {"successor", notice.successor}})
      .dump();
}

std::optional<drain_notice> DecodeDrain(const std::string& payload) {
  const nlohmann::json document = ParseBoundedJson(payload);
  if (!document.is_object()) {
    return std::nullopt;
  }
  try {
    return drain_notice{document.at("owners").get<std::vector<std::string>>(),
                        document.at("successor").get<std::string>()};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

void successor_table::Record(const drain_notice& notice) {
  for (const std::string& owner : notice.owners) {
    const bool is_new =
        holders_.insert_or_assign(owner, notice.successor).second;
    if (!is_new) {
      continue;
    }
    owners_by_age_.push_back(owner);
    if (owners_by_age_.size() > kMaxOwners) {
      holders_.erase(owners_by_age_.front());
      owners_by_age_.pop_front();
    }
  }
}

std::string successor_table::HolderOf(const std::string& owner) const {
  const auto found = holders_.find(owner);
  return found == holders_.end() ? std::string() : found->second;
}

}  // namespace skylarkcroft

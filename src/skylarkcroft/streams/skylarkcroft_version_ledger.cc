#include "skylarkcroft/streams/skylarkcroft_version_ledger.h"

#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

constexpr const char* kLedgerPrefix = "service/";

std::string EraSuffix(int64_t era) { return "/" + std::to_string(era); }

}  // namespace

version_ledger::version_ledger(const store_moment& created, bool is_first_start)
    : era_(created.era),
      settled_at_(is_first_start
                      ? created.clock
                      : created.clock + kMaxUpstreamsAge + kMaxStreamLife) {}

std::optional<std::string> version_ledger::OnlyVersion(
    const store_moment& now) const {
  const bool is_settled = now.era == era_ && now.clock >= settled_at_;
  if (!is_settled || versions_.size() != 1) {
    return std::nullopt;
  }
  return *versions_.begin();
}

version_ledger version_ledger::With(const std::set<std::string>& added,
                                    const store_moment& now) const {
  version_ledger changed = *this;
  changed.versions_.insert(added.begin(), added.end());
  const bool replaces = !versions_.empty() && changed.versions_ != versions_;
  if (replaces) {
    changed.settled_at_ = std::max(settled_at_, now.clock + kMaxStreamLife);
  }
  return changed;
}

version_ledger version_ledger::Without(const std::set<std::string>& removed,
                                       const store_moment& now) const {
  version_ledger changed = *this;
  for (const std::string& version : removed) {
    changed.versions_.erase(version);
  }
  changed.settled_at_ = std::max(settled_at_, now.clock + kMaxStreamLife);
  return changed;
}

std::string EncodeLedger(const version_ledger& ledger) {
  return json({{"versions", ledger.versions_},
               {"era", ledger.era_},
               {"settled_at_ms", ledger.settled_at_.count()}})
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<version_ledger> DecodeLedger(const std::string& value) {
  const json document = ParseBoundedJson(value);
  try {
    version_ledger ledger;
    ledger.versions_ = document.at("versions").get<std::set<std::string>>();
    ledger.era_ = document.at("era").get<int64_t>();
    ledger.settled_at_ =
        milliseconds(document.at("settled_at_ms").get<int64_t>());
    return ledger;
  } catch (const json::exception&) {
    // The reader counts the row as absent.
    return std::nullopt;
  }
}

std::string LedgerKey(const std::string& service, int64_t era) {
  return kLedgerPrefix + service + EraSuffix(era);
}

std::optional<std::string> ServiceOfLedgerKey(const std::string& key,
                                              int64_t era) {
  const std::string prefix = kLedgerPrefix;
  const std::string suffix = EraSuffix(era);
  const bool matches = key.size() > prefix.size() + suffix.size() &&
                       key.starts_with(prefix) && key.ends_with(suffix);
  if (!matches) {
    return std::nullopt;
  }
  return key.substr(prefix.size(), key.size() - prefix.size() - suffix.size());
}

}  // namespace skylarkcroft

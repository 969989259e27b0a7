#include "skylarkcroft/routing/skylarkcroft_cache_events.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

constexpr int kHexBase = 16;

std::optional<uint64_t> ParseHash(const std::string& text) {
  uint64_t hash = 0;
  const char* end = text.data() + text.size();
  const auto [stop, status] = std::from_chars(text.data(), end, hash, kHexBase);
  if (text.empty() || status != std::errc() || stop != end) {
    return std::nullopt;
  }
  return hash;
}

std::optional<cache_event> ParseEvent(const nlohmann::json& element) {
  const std::optional<uint64_t> hash =
      ParseHash(element.at("prefix_hash").get<std::string>());
  if (!hash) {
    return std::nullopt;
  }
  cache_event event;
  event.seq = element.at("seq").get<int64_t>();
  event.stored = element.at("kind").get<std::string>() == "stored";
  event.block_hash = *hash;
  return event;
}

}  // namespace

std::optional<cache_event_page> ParseCacheEvents(std::string_view body) {
  const nlohmann::json document = ParseBoundedJson(body);
  if (!document.is_object()) {
    return std::nullopt;
  }
  try {
    cache_event_page page;
    page.last_seq = document.at("last_seq").get<int64_t>();
    for (const nlohmann::json& element : document.at("events")) {
      const std::optional<cache_event> event = ParseEvent(element);
      if (!event) {
        return std::nullopt;
      }
      page.events.push_back(*event);
    }
    return page;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

int64_t ApplyCacheEvents(prefix_tracker& prefixes, const upstream_key& target,
                         int64_t after, const cache_event_page& page) {
  if (page.last_seq < after) {
    prefixes.Forget(target);
    return 0;
  }
  int64_t seen = after;
  for (const cache_event& event : page.events) {
    if (event.seq <= seen) {
      continue;
    }
    prefixes.RecordLostEvents(target, event.seq - seen - 1);
    seen = event.seq;
    if (event.stored) {
      prefixes.RecordStored(target, event.block_hash);
    } else {
      prefixes.RecordEvicted(target, event.block_hash);
    }
  }
  prefixes.RecordLostEvents(target, page.last_seq - seen);
  return page.last_seq;
}

}  // namespace skylarkcroft

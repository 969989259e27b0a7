#ifndef SKYLARKCROFT_INTERNAL_SKYLARKCROFT_SETTINGS_VALUES_H_
#define SKYLARKCROFT_INTERNAL_SKYLARKCROFT_SETTINGS_VALUES_H_

#include <cstdint>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Member `key` as an address; throws config_error.
inline endpoint ReadEndpoint(const json_reader& reader, std::string_view key) {
  return ParseEndpoint(reader.String(key), reader.PathOf(key));
}

/// Member `key` as a span from `least` to a day, in milliseconds.
inline milliseconds ReadMs(const json_reader& reader, std::string_view key,
                           milliseconds fallback, int64_t least = 0) {
  constexpr int64_t kDayMs = 24LL * 3600 * 1000;
  return milliseconds(reader.IntOr(key, {least, kDayMs}, fallback.count()));
}

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_INTERNAL_SKYLARKCROFT_SETTINGS_VALUES_H_

#ifndef SKYLARKCROFT_STORE_SKYLARKCROFT_STORE_POSITION_H_
#define SKYLARKCROFT_STORE_SKYLARKCROFT_STORE_POSITION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace skylarkcroft {

/// A point in the history of the store. A store that comes back from an older
/// copy begins a new era, goes back to the copy's version and gives out the
/// versions after it again, for other changes. So versions of two eras cannot
/// be compared; the later era is the later one.
struct store_position {
  int64_t era = 0;  ///< 0 for a store that states none.
  int64_t version = 0;

  auto operator<=>(const store_position&) const = default;
};

/// `ERA/VERSION`, for logs.
inline std::string ToString(const store_position& position) {
  return std::to_string(position.era) + "/" + std::to_string(position.version);
}

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_STORE_POSITION_H_

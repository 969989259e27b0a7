#ifndef STANDINS_PLATFORM_SKYLARKCROFT_OBJECT_MAP_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_OBJECT_MAP_H_

#include <cstdint>
#include <string>
#include <unordered_map>

namespace skylarkcroft::standin {

/// `etag` differs between any two objects that were ever stored.
struct stored_object {
  std::string body;
  std::string etag;

  bool operator==(const stored_object&) const = default;
};

/// The objects of the object store by key.
class object_map {
 public:
  /// Returns the entity tag, or nothing when the key is taken and may not be
  /// replaced.
  std::string Put(const std::string& key, const std::string& body,
                  bool may_replace);
  /// Null when missing; valid until the next call that is not const.
  [[nodiscard]] const stored_object* Find(const std::string& key) const;
  void Delete(const std::string& key);

 private:
  std::unordered_map<std::string, stored_object> objects_;
  int64_t puts_ = 0;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_OBJECT_MAP_H_

#include "standins/platform/skylarkcroft_object_map.h"

namespace skylarkcroft::standin {

std::string object_map::Put(const std::string& key, const std::string& body,
                            bool may_replace) {
  if (!may_replace && Find(key) != nullptr) {
    return {};
  }
  std::string etag = "\"" + std::to_string(++puts_) + "\"";
  objects_[key] = {body, etag};
  return etag;
}

const stored_object* object_map::Find(const std::string& key) const {
  const auto found = objects_.find(key);
  return found == objects_.end() ? nullptr : &found->second;
}

void object_map::Delete(const std::string& key) { objects_.erase(key); }

}  // namespace skylarkcroft::standin

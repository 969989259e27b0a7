#ifndef SKYLARKCROFT_INTERNAL_SKYLARKCROFT_ERROR_H_
#define SKYLARKCROFT_INTERNAL_SKYLARKCROFT_ERROR_H_

#include <stdexcept>
#include <string>

namespace skylarkcroft {

/// Base of every error this library throws. The message states what failed and
/// what the reader can do about it.
class error : public std::runtime_error {
 public:
  error(const std::string& what_failed, const std::string& remedy)
      : std::runtime_error(what_failed + "; " + remedy), remedy_(remedy) {}

  [[nodiscard]] const std::string& remedy() const { return remedy_; }

 private:
  std::string remedy_;
};

/// A settings or table document that fails validation. `path` is the JSON path
/// of the offending member, for example `$.pools[2].upstreams[0].address`.
class config_error : public error {
 public:
  config_error(const std::string& path, const std::string& reason,
               const std::string& remedy)
      : error(path + ": " + reason, remedy), path_(path), reason_(reason) {}

  [[nodiscard]] const std::string& path() const { return path_; }
  [[nodiscard]] const std::string& reason() const { return reason_; }

 private:
  std::string path_;
  std::string reason_;
};

/// A socket could not be opened, bound or connected.
class network_error : public error {
 public:
  using error::error;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_INTERNAL_SKYLARKCROFT_ERROR_H_

#ifndef SKYLARKCROFT_INTERNAL_SKYLARKCROFT_JSON_READER_H_
#define SKYLARKCROFT_INTERNAL_SKYLARKCROFT_JSON_READER_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkcroft {

/// Inclusive bounds of an integer member.
struct int_range {
  int64_t min;
  int64_t max;
};

/// Inclusive bounds of a number member.
struct number_range {
  double min;
  double max;
};

/// Typed, path-tracking view of one JSON object. Every accessor throws
/// config_error naming the JSON path, the reason and the remedy. The document
/// must outlive the reader.
class json_reader {
 public:
  /// Checks that `value` is an object whose keys are all in `allowed`.
  json_reader(const nlohmann::json& value, std::string path,
              std::initializer_list<std::string_view> allowed);
  /// Checks only that `value` is an object. For answers of other systems,
  /// which may gain members.
  json_reader(const nlohmann::json& value, std::string path);

  [[nodiscard]] bool Has(std::string_view key) const;
  /// Throws when `key` is missing.
  void Require(std::string_view key) const;
  [[nodiscard]] const std::string& path() const { return path_; }
  [[nodiscard]] std::string PathOf(std::string_view key) const;

  [[nodiscard]] std::string String(std::string_view key) const;
  [[nodiscard]] std::string StringOr(std::string_view key,
                                     const std::string& fallback) const;
  /// Like String, and rejects an empty value.
  [[nodiscard]] std::string Name(std::string_view key) const;
  [[nodiscard]] int64_t Int(std::string_view key, int_range range) const;
  [[nodiscard]] int64_t IntOr(std::string_view key, int_range range,
                              int64_t fallback) const;
  [[nodiscard]] double NumberOr(std::string_view key, number_range range,
                                double fallback) const;
  [[nodiscard]] bool BoolOr(std::string_view key, bool fallback) const;
  [[nodiscard]] std::vector<std::string> StringsOr(
      std::string_view key, const std::vector<std::string>& fallback) const;
  /// One of `choices`; the error lists them.
  [[nodiscard]] std::string ChoiceOr(
      std::string_view key, std::initializer_list<std::string_view> choices,
      const std::string& fallback) const;

  /// Calls `visit(element, path)` for each element of array `key`; a missing
  /// key is an empty array.
  void Each(std::string_view key,
            const std::function<void(const nlohmann::json&,
                                     const std::string&)>& visit) const;

  /// The member itself; throws when it is missing.
  [[nodiscard]] const nlohmann::json& Member(std::string_view key) const;

 private:
  [[nodiscard]] const nlohmann::json* Find(std::string_view key) const;

  const nlohmann::json& value_;
  std::string path_;
};

/// Parses `text`; throws config_error with path `$` and the byte offset when it
/// is not JSON.
nlohmann::json ParseJson(std::string_view text);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_INTERNAL_SKYLARKCROFT_JSON_READER_H_
